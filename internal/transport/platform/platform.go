// Package platform is a client for the platform's table service, object store and host
// list. Every call has a timeout. If no response arrives, the caller decides how to handle
// the unknown outcome.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertlever/filbertlever"
	platformv1 "github.com/filbertlever/filbertlever/internal/protocol/platform/v1"
	"github.com/filbertlever/filbertlever/internal/protocol/platform/v1/platformv1connect"
	"github.com/filbertlever/filbertlever/internal/transport/network"
)

// ErrNotFound means that an object does not exist.
var ErrNotFound = errors.New("not found")

// maxObjectBytes is the size limit for objects that are read.
const maxObjectBytes = 32 << 20

// Client sends requests to the platform. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	table   platformv1connect.TableServiceClient
	timeout time.Duration
}

// New returns a client for the platform at a base URL. The timeout applies to each call.
func New(base string, timeout time.Duration, links network.Network) *Client {
	client := network.NewClient(&http.Transport{DialContext: links.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: network.MaxResponseHead})
	return &Client{
		base:    base,
		http:    client,
		table:   platformv1connect.NewTableServiceClient(client, base, connect.WithReadMaxBytes(network.MaxMessage)),
		timeout: timeout,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Row is a row of the table. A revision of 0 means that the row does not exist.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Decode decodes the row's JSON value into out. It does not change out if the row does not
// exist.
func (r Row) Decode(out any) error {
	if r.Revision == 0 {
		return nil
	}
	if err := json.Unmarshal(r.Value, out); err != nil {
		return fmt.Errorf("decode row %s: %w", r.Key, err)
	}
	return nil
}

// Write is a compare-and-swap of one row. It applies only if the row is at the expected
// revision.
type Write struct {
	Key              string
	Value            any
	ExpectedRevision uint64
}

// Get returns the rows with the given keys, in the order of the keys.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.table.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Keys: keys}))
	if err != nil {
		return nil, fmt.Errorf("read %v from platform: %w", keys, err)
	}
	if len(response.Msg.Rows) != len(keys) {
		return nil, fmt.Errorf("read %v from platform: %d rows", keys, len(response.Msg.Rows))
	}
	return toRows(response.Msg.Rows), nil
}

// List returns all rows whose keys begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.table.Get(ctx, connect.NewRequest(&platformv1.GetRequest{Prefix: prefix}))
	if err != nil {
		return nil, fmt.Errorf("list %s* from platform: %w", prefix, err)
	}
	return toRows(response.Msg.Rows), nil
}

// Commit applies either all writes or none. After an error the writes may have been
// applied, or may still be applied later. If applied is false, conflicts holds the rows
// that were not at the expected revision.
func (c *Client) Commit(ctx context.Context, writes ...Write) (applied bool, revisions []uint64, conflicts []Row, err error) {
	request := &platformv1.CommitRequest{}
	for _, write := range writes {
		value, err := json.Marshal(write.Value)
		if err != nil {
			return false, nil, nil, fmt.Errorf("encode row %s: %w", write.Key, err)
		}
		request.Writes = append(request.Writes, &platformv1.Write{Key: write.Key, Value: value, ExpectedRevision: write.ExpectedRevision})
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.table.Commit(ctx, connect.NewRequest(request))
	if err != nil {
		return false, nil, nil, fmt.Errorf("write %s to platform: %w", writes[0].Key, err)
	}
	return response.Msg.Applied, response.Msg.Revisions, toRows(response.Msg.Conflicts), nil
}

// ListHosts returns the host list and its revision. The list is nil if it is still at
// knownRevision.
func (c *Client) ListHosts(ctx context.Context, knownRevision uint64) (revision uint64, hosts []filbertlever.Host, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.table.ListHosts(ctx, connect.NewRequest(&platformv1.ListHostsRequest{KnownRevision: knownRevision}))
	if err != nil {
		return 0, nil, fmt.Errorf("list hosts from platform: %w", err)
	}
	if response.Msg.Revision == knownRevision {
		return knownRevision, nil, nil
	}
	hosts = make([]filbertlever.Host, len(response.Msg.Hosts))
	for i, host := range response.Msg.Hosts {
		hosts[i] = toHost(host)
	}
	return response.Msg.Revision, hosts, nil
}

// PutObject creates an object. If the object exists already, it is not changed and no error
// is returned.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key), bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("put object %s: %w", key, err)
	}
	request.Header.Set("If-None-Match", "*")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("put object %s: %w", key, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusPreconditionFailed:
		return nil
	}
	return fmt.Errorf("put object %s: status %s", key, response.Status)
}

// GetObject returns the content of an object.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.objectURL(key), nil)
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", key, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", key, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("get object %s: %w", key, ErrNotFound)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get object %s: status %s", key, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes+1))
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", key, err)
	}
	if len(data) > maxObjectBytes {
		return nil, fmt.Errorf("get object %s: more than %d bytes", key, maxObjectBytes)
	}
	return data, nil
}

func (c *Client) objectURL(key string) string {
	return c.base + "/objects/" + url.PathEscape(key)
}

func toRows(messages []*platformv1.Row) []Row {
	out := make([]Row, len(messages))
	for i, row := range messages {
		out[i] = Row{Key: row.Key, Value: row.Value, Revision: row.Revision}
	}
	return out
}

func toHost(host *platformv1.Host) filbertlever.Host {
	roles := map[platformv1.HostRole]filbertlever.Role{
		platformv1.HostRole_HOST_ROLE_ENTRY: filbertlever.RoleEntry,
		platformv1.HostRole_HOST_ROLE_AGENT: filbertlever.RoleAgent,
	}
	return filbertlever.Host{
		ID:            filbertlever.HostID(host.Id),
		Role:          roles[host.Role],
		Site:          host.Site,
		Region:        host.Region,
		PeerAddress:   host.PeerAddress,
		CallerAddress: host.CallerAddress,
		Pool:          host.Pool,
		Leaving:       host.Leaving,
	}
}
