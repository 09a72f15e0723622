load("shop.star", "instance")

instance("a", 6571)
