package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is how a request of a client ended, after its retries.
type result struct {
	sentAt time.Time
	served bool
	stream bool
	status int
}

// clients send requests to the entries at a steady rate.
type clients struct {
	in     *installation
	record *record
	client *http.Client

	mu        sync.Mutex
	addresses []string
	results   []result
	group     sync.WaitGroup
}

func newClients(in *installation) *clients {
	return &clients{in: in, record: in.record, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// run sends perSecond requests a second until ctx ends. One in ten is an order, the others are streams.
func (c *clients) run(ctx context.Context, perSecond int) {
	go c.resolve(ctx)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			c.group.Wait()
			return
		case <-ticker.C:
		}
		stream := n%10 != 0
		c.group.Go(func() { c.request(fmt.Sprintf("%016x", rand.Uint64()), stream) })
	}
}

// resolve asks for the addresses of entries, as long as they may be kept.
func (c *clients) resolve(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		zone := zones[n%len(zones)]
		query := url.Values{"name": {host}, "region": {regions[zone]}, "zone": {zone}}
		for _, p := range c.in.entries {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			request, _ := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+p.locate+"/api/resolve?"+query.Encode(), nil)
			var found struct {
				Addresses []string `json:"addresses"`
			}
			response, err := c.client.Do(request)
			if err == nil {
				err = json.NewDecoder(response.Body).Decode(&found)
				_ = response.Body.Close()
			}
			cancel()
			if err == nil && len(found.Addresses) > 0 {
				c.mu.Lock()
				c.addresses = found.Addresses
				c.mu.Unlock()
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(700 * time.Millisecond):
		}
	}
}

func (c *clients) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// request sends a request, and once more if it was refused.
func (c *clients) request(id string, stream bool) {
	budget := time.Second
	if stream {
		budget = 6 * time.Second
	}
	start := time.Now()
	end := start.Add(budget)
	final := result{sentAt: start, stream: stream}
	for attempt := range 2 {
		served, status, wait := c.attempt(fmt.Sprintf("%s-%d", id, attempt+1), stream, end)
		final.served, final.status = served, status
		if served || status != http.StatusServiceUnavailable && !(stream && status == 0) {
			break
		}
		time.Sleep(min(wait, time.Until(end)/3))
	}
	c.mu.Lock()
	c.results = append(c.results, final)
	c.mu.Unlock()
}

// attempt makes one attempt. The status is 0 if there was no complete answer.
func (c *clients) attempt(id string, stream bool, end time.Time) (served bool, status int, wait time.Duration) {
	address := c.pick()
	if address == "" {
		c.record.note("request %s: no entry is known", id)
		return false, 0, 200 * time.Millisecond
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	path, body := "/order/1", "one lorry"
	if stream {
		path, body = "/plan/1", "a plan"
	}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewBufferString(body))
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	if stream {
		request.Header.Set("X-Model", modelName)
		request.Header.Set("X-Token-Usage", "640,36")
		request.Header.Set("X-Prompt-Prefix", "5c1e07a2:40,"+id[:16]+":600")
	}
	c.record.note("request %s sent to %s%s", id, address, path)
	response, err := c.client.Do(request)
	if err != nil {
		c.record.note("request %s: no answer: %v", id, err)
		return false, 0, 200 * time.Millisecond
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	whole := err == nil && (!stream || strings.Count(string(text), "\n\n") == eventCount)
	c.record.note("request %s answered %d, whole: %v, version %s", id, response.StatusCode, whole, response.Header.Get("X-Weight-Versions"))
	return whole && response.StatusCode == http.StatusOK && response.Header.Get("X-Server-Stamp") != "", response.StatusCode, wait
}

// share returns how many requests were sent between two times and how many of them were served.
func (c *clients) share(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, served
}
