load("shop.star", "instance")

instance("b", 6572)
