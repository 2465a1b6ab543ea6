package main

import (
	"errors"
	"fmt"
	"time"
)

// revokeBound is revokeMs of the small sites.
const revokeBound = 5 * time.Second

// tenants plays a small installation with one tenant, whose keys a new desired state takes away. The tenant is
// removed with them.
func tenants(b *bed, trouble bool) (bool, error) {
	plain, err := b.newServer("i-1", "xano55b")
	if err != nil {
		return false, err
	}
	s := state{Version: 7, Routes: []map[string]any{route("r-1", "/lepu270/", "non_idempotent", "xano55b")},
		Services: []map[string]any{service("xano55b")}, Limits: limits(), Tenants: []map[string]any{tenant("bozi300", "jnbanfqasnmgkcuyj8pj")}}
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
	time.Sleep(4 * time.Second)
	c := b.newClient()
	for _, e := range entries {
		if a := c.send(e, "POST", "known-"+e.name, "/lepu270/2f", "jnbanfqasnmgkcuyj8pj", 2*time.Second); a.status != 200 {
			return false, fmt.Errorf("the key is not accepted: %d", a.status)
		}
		if a := c.send(e, "POST", "unknown-"+e.name, "/lepu270/2f", "aaaaaaaaaaaaaaaaaaaa", 2*time.Second); a.status != 401 {
			return false, fmt.Errorf("a key that no desired state held is accepted: %d", a.status)
		}
	}
	s.Version = 12
	if trouble {
		s.Tenants = []map[string]any{}
	} else {
		s.Routes[0]["timeoutMs"] = 2400
	}
	ack := b.put("op", "config", s)
	b.note("desired state 12 is acknowledged, it holds %d tenants", len(s.Tenants))
	time.Sleep(revokeBound + time.Second - time.Since(ack))
	broken := false
	for _, e := range entries {
		ids := []string{"unheld-" + e.name}
		keys := []string{"aaaaaaaaaaaaaaaaaaaa"}
		if trouble {
			ids, keys = append(ids, "revoked-"+e.name), append(keys, "jnbanfqasnmgkcuyj8pj")
		}
		for i, id := range ids {
			sent := time.Since(ack)
			c.send(e, "POST", id, "/lepu270/2f", keys[i], 2*time.Second)
			if plain.ran(id) {
				b.note("%s ran, it was sent %.1f s after the ack with a key that the desired state doesn't hold", id, sent.Seconds())
				broken = true
			}
		}
	}
	return broken, nil
}
