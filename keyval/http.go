// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package keyval

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/heathkeel/heathkeel/internal/jsoncall"
)

// The paths and fields below are the whole wire format of the platform. Both
// Client and the handlers of the platform's test doubles use them.
const (
	// PathKV, followed by the escaped key, is the path of a key.
	PathKV = "/kv/item/"
	// PathKeys lists the keys that start with the query parameter "prefix".
	PathKeys = "/kv/keys"
	// PathLease grants (POST) and renews (PUT) leases.
	PathLease = "/kv/lease"
	// PathHosts returns the list of hosts and endpoints.
	PathHosts = "/hosts"
	// PathWeights describes the weights given by the query parameters "model" and "version".
	PathWeights = "/weights"
)

// SwapBody is the body of a write.
type SwapBody struct {
	// Version is the version that the key must have, 0 if it must be absent.
	Version uint64 `json:"version"`
	// Value is the new value.
	Value []byte `json:"value"`
	// Lease is the lease that the key is attached to, or 0.
	Lease Lease `json:"lease,omitempty"`
}

// LeaseBody is the body of a request to grant or renew a lease, and of the answer.
type LeaseBody struct {
	// Lease identifies the lease.
	Lease Lease `json:"lease,omitempty"`
	// TTLMS is the time to live of a granted lease, in milliseconds.
	TTLMS int64 `json:"ttl_ms,omitempty"`
}

// statusErrors maps HTTP statuses to errors and errors to statuses.
var statusErrors = []struct {
	status int
	err    error
}{
	{http.StatusNotFound, ErrNotFound},
	{http.StatusConflict, ErrConflict},
	{http.StatusTooManyRequests, ErrRateLimited},
	{http.StatusRequestEntityTooLarge, ErrTooLarge},
	{http.StatusGone, ErrLeaseExpired},
}

// StatusOf returns the HTTP status that represents err.
func StatusOf(err error) int {
	if err == nil {
		return http.StatusOK
	}
	for _, e := range statusErrors {
		if e.err == err {
			return e.status
		}
	}
	return http.StatusServiceUnavailable
}

// Client calls the platform over HTTP. It implements KV, HostList and WeightStore.
type Client struct {
	// BaseURL is the platform's base URL, such as "http://127.0.0.1:7000".
	BaseURL string
	// HTTP is the client that sends the calls; nil means http.DefaultClient.
	HTTP *http.Client

	mu         sync.Mutex
	cachedList []ListEntry
	cachedETag string
}

// client returns the HTTP client that sends the calls.
func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// call sends one request and decodes the JSON answer into out, unless out is nil. Every
// failure without an error of its own in statusErrors is ErrUnavailable.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	req, err := jsoncall.NewRequest(ctx, method, c.BaseURL+path, in)
	if err != nil {
		return err
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return ErrUnavailable
	}
	defer resp.Body.Close()
	for _, e := range statusErrors {
		if e.status == resp.StatusCode {
			return e.err
		}
	}
	if resp.StatusCode != http.StatusOK {
		return ErrUnavailable
	}
	if out == nil {
		return nil
	}
	if err := jsoncall.Decode(resp.Body, out); err != nil {
		return ErrUnavailable
	}
	return nil
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var it Item
	return it, c.call(ctx, http.MethodGet, PathKV+url.PathEscape(key), nil, &it)
}

// Swap implements KV.
func (c *Client) Swap(ctx context.Context, key string, version uint64, value []byte, lease Lease) (uint64, error) {
	if len(value) > MaxValueSize {
		return 0, ErrTooLarge
	}
	var it Item
	err := c.call(ctx, http.MethodPut, PathKV+url.PathEscape(key), SwapBody{version, value, lease}, &it)
	return it.Version, err
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	q := "?version=" + strconv.FormatUint(version, 10)
	return c.call(ctx, http.MethodDelete, PathKV+url.PathEscape(key)+q, nil, nil)
}

// Keys implements KV.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	return keys, c.call(ctx, http.MethodGet, PathKeys+"?prefix="+url.QueryEscape(prefix), nil, &keys)
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Item, error) {
	var it Item
	q := "?after=" + strconv.FormatUint(after, 10)
	return it, c.call(ctx, http.MethodGet, PathKV+url.PathEscape(key)+q, nil, &it)
}

// Grant implements KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var out LeaseBody
	err := c.call(ctx, http.MethodPost, PathLease, LeaseBody{TTLMS: ttl.Milliseconds()}, &out)
	return out.Lease, err
}

// Renew implements KV.
func (c *Client) Renew(ctx context.Context, lease Lease) error {
	return c.call(ctx, http.MethodPut, PathLease, LeaseBody{Lease: lease}, nil)
}

// List implements HostList. The platform sends the list only if it changed since the
// last call. The result is shared and must not be modified.
func (c *Client) List(ctx context.Context) ([]ListEntry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+PathHosts, nil)
	if err != nil {
		return nil, err
	}
	if c.cachedETag != "" {
		req.Header.Set("If-None-Match", c.cachedETag)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, ErrUnavailable
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return c.cachedList, nil
	}
	var out []ListEntry
	if resp.StatusCode != http.StatusOK || jsoncall.Decode(resp.Body, &out) != nil {
		return nil, ErrUnavailable
	}
	c.cachedList, c.cachedETag = out, resp.Header.Get("ETag")
	return out, nil
}

// Describe implements WeightStore.
func (c *Client) Describe(ctx context.Context, model, version string) (Weights, error) {
	var out Weights
	q := "?model=" + url.QueryEscape(model) + "&version=" + url.QueryEscape(version)
	return out, c.call(ctx, http.MethodGet, PathWeights+q, nil, &out)
}
