package main

import (
	"errors"
	"time"
)

// encoded sends requests whose paths hold an encoded slash. The prefix of a route never begins with one.
func encoded(b *bed, trouble bool) (bool, error) {
	wide, err := b.newServer("i-1", "xano55b")
	if err != nil {
		return false, err
	}
	narrow, err := b.newServer("i-2", "gowu98c")
	if err != nil {
		return false, err
	}
	public := route("r-2", "/lepu270/de11/", "non_idempotent", "gowu98c")
	public["anonymous"] = true
	s := state{Version: 7, Routes: []map[string]any{route("r-1", "/lepu270/", "non_idempotent", "xano55b"), public},
		Services: []map[string]any{service("xano55b"), service("gowu98c")}, Limits: limits(), Tenants: []map[string]any{tenant("bozi300", "key-1")}}
	b.put("op", "config", s)
	entries, err := b.entries(2)
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		if !await(15*time.Second, e.isReady) {
			return false, errors.New("an entry is not ready")
		}
	}
	time.Sleep(time.Second)
	path := "/lepu270/de11"
	if trouble {
		path = "/lepu270/de11%2F2f"
	}
	c := b.newClient()
	broken := false
	for _, e := range entries {
		c.send(e, "POST", "keyed-"+e.name, path, "key-1", 2*time.Second)
		c.send(e, "POST", "keyless-"+e.name, path, "", 2*time.Second)
		broken = broken || narrow.ran("keyed-"+e.name) || narrow.ran("keyless-"+e.name)
		if !trouble && !wide.ran("keyed-"+e.name) {
			return false, errors.New("the request did not run")
		}
	}
	return broken, nil
}
