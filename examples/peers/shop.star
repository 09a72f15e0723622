# Three instances that share the ceiling of one dependency; a.star, b.star and c.star configure one instance each.
KEEPERS = {"a": "127.0.0.1:7101", "b": "127.0.0.1:7102", "c": "127.0.0.1:7103"}

def instance(name, port):
    peers(name = name, listen = KEEPERS[name], keepers = KEEPERS, data = "/tmp/cottondyke-" + name)
    serve(listen = "127.0.0.1:%d" % port)
    fleet(kept_mb = 1)
    browse = handler("browse", effect = "replayable", response_target = "1.8s", client_timeout = "4s")
    dependency("catalogue", addr = "127.0.0.1:8101", budget = "400ms", ceiling = 24, linger = "300ms", replies = "json")
    page(browse, parts = [part("catalogue")])
