// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/quarantine"
)

// quarantine shows and releases requests under which endpoints crashed.
func (t *tool) quarantine(ctx context.Context) error {
	q := t.Quarantine
	if q.Host == "" {
		return fmt.Errorf("%w: give --host or set HEATHKEEL_HOST", errUsage)
	}
	switch {
	case q.List != nil:
		return t.listHeld(ctx)
	case q.Show != nil:
		return t.showHeld(ctx, q.Show.Fingerprint)
	case q.Release != nil:
		return t.releaseHeld(ctx, q.Release.Fingerprint)
	}
	return fmt.Errorf("%w: give list, show or release", errUsage)
}

// fingerprint reads a fingerprint of the command line.
func fingerprint(text string) (quarantine.Fingerprint, error) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(text)); err != nil {
		return f, fmt.Errorf("%w: %w", errUsage, err)
	}
	return f, nil
}

// held asks a host what it knows.
func (t *tool) held(ctx context.Context) ([]quarantine.Entry, error) {
	body, err := t.askHost(ctx, http.MethodGet, edge.PathQuarantine)
	if err != nil {
		return nil, err
	}
	var list []quarantine.Entry
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("host %s gave an answer that cannot be read; is it an hkedge of this version? %w", t.Quarantine.Host, err)
	}
	return list, nil
}

// askHost does one call to the host that was given.
func (t *tool) askHost(ctx context.Context, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Quarantine.Host+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: --host: %w", errUsage, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("host %s did not answer; give the control address of another one: %w", t.Quarantine.Host, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("host %s: the answer broke off; ask again: %w", t.Quarantine.Host, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("host %s answered %d: %s", t.Quarantine.Host, resp.StatusCode, body)
	}
	return body, nil
}

// listHeld prints a line for each request.
func (t *tool) listHeld(ctx context.Context) error {
	list, err := t.held(ctx)
	if err != nil {
		return err
	}
	if t.JSON {
		return t.printJSON(list)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tSTATE\tLEFT\tENDPOINTS\tKEPT\tREQUEST")
	for i := range list {
		e := &list[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%s\n", e.Fingerprint, state(e), left(e), len(e.Crashes), e.Saved, e.Request)
	}
	return w.Flush()
}

// state names what becomes of a request.
func state(e *quarantine.Entry) string {
	switch {
	case e.Held:
		return "held"
	case e.OnTrial:
		return "on trial"
	}
	return "suspected"
}

// left tells for how long a request is held.
func left(e *quarantine.Entry) string {
	if !e.Held {
		return "-"
	}
	return (time.Duration(e.LeftMS) * time.Millisecond).Round(time.Second).String()
}

// showHeld prints what is known of one request.
func (t *tool) showHeld(ctx context.Context, text string) error {
	f, err := fingerprint(text)
	if err != nil {
		return err
	}
	list, err := t.held(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(list, func(e quarantine.Entry) bool { return e.Fingerprint == f })
	if i < 0 {
		return fmt.Errorf("host %s knows nothing of %s; in fleets with relays hosts are told of requests under which two endpoints crashed", t.Quarantine.Host, f)
	}
	e := &list[i]
	if t.JSON {
		return t.printJSON(e)
	}
	fmt.Fprintf(t.out, "%s: %s\n%s, for %s yet; held %d times; sent on trial %d times; kept in the store: %t\n", e.Fingerprint, e.Request, state(e), left(e), e.HoldCount, e.Trials, e.Saved)
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tENDED\tAFTER\tANSWER\tSEEN BY")
	for _, c := range e.Crashes {
		answer := "begun"
		if c.NoResponse {
			answer = "none"
		}
		fmt.Fprintf(w, "%s\t%s ago\t%d ms\t%s\t%s\n", c.Incarnation, (time.Duration(c.AgeMS) * time.Millisecond).Round(time.Second), c.RequestAgeMS, answer, c.Host)
	}
	return w.Flush()
}

// releaseHeld lets a request run again.
func (t *tool) releaseHeld(ctx context.Context, text string) error {
	f, err := fingerprint(text)
	if err != nil {
		return err
	}
	if _, err := t.askHost(ctx, http.MethodDelete, edge.PathQuarantine+"/"+f.String()); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s may run again at all hosts\n", f)
	return nil
}
