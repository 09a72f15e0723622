# A page composed from three dependencies; `demo_platform shop` simulates them on these ports.
fleet(instances = 1)
serve(listen = "127.0.0.1:6565")

browse = handler("browse", effect = "replayable", response_target = "1.8s", client_timeout = "4s")

for name, port in [("catalogue", 8101), ("prices", 8102), ("stock", 8103)]:
    dependency(
        name,
        addr = "127.0.0.1:%d" % port,
        budget = "400ms",
        ceiling = 24,
        linger = "300ms",
        hedge = 0.95,
        replies = "json",
    )

page(browse, parts = [
    part("catalogue", required = True),
    part("prices", fallbacks = [kept("30s"), fixed({"price": None})]),
    part("stock", fallbacks = [kept("5s"), leave_out()]),
])
