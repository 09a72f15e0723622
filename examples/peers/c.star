load("shop.star", "instance")

instance("c", 6573)
