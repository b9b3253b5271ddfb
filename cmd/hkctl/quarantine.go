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

// quarantine runs the subcommand that lists, shows or releases quarantined requests:
// requests under which endpoints crashed.
func (inv *invocation) quarantine(ctx context.Context) error {
	q := inv.Quarantine
	if q.Host == "" {
		return fmt.Errorf("%w: quarantine needs the address of a host; give --host or set HEATHKEEL_HOST", errUsage)
	}
	switch {
	case q.List != nil:
		return inv.listEntries(ctx)
	case q.Show != nil:
		return inv.showEntry(ctx, q.Show.Fingerprint)
	case q.Release != nil:
		return inv.releaseRequest(ctx, q.Release.Fingerprint)
	}
	return fmt.Errorf("%w: no quarantine command; give list, show or release", errUsage)
}

// parseFingerprint parses a fingerprint from the command line.
func parseFingerprint(text string) (quarantine.Fingerprint, error) {
	var f quarantine.Fingerprint
	if err := f.UnmarshalText([]byte(text)); err != nil {
		return f, fmt.Errorf("%w: %w", errUsage, err)
	}
	return f, nil
}

// fetchEntries returns the quarantine entries of the host given by --host.
func (inv *invocation) fetchEntries(ctx context.Context) ([]quarantine.Entry, error) {
	body, err := inv.callHost(ctx, http.MethodGet, edge.PathQuarantine)
	if err != nil {
		return nil, err
	}
	var list []quarantine.Entry
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("the answer of host %s is not a list of quarantine entries; check that it is an hkedge of this version: %w", inv.Quarantine.Host, err)
	}
	return list, nil
}

// callHost sends one request to the host given by --host and returns the body of its answer.
func (inv *invocation) callHost(ctx context.Context, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+inv.Quarantine.Host+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: invalid --host: %w", errUsage, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("host %s did not answer; give the control address of another one: %w", inv.Quarantine.Host, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("the answer of host %s ended early; run the command again: %w", inv.Quarantine.Host, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("host %s answered %d: %s", inv.Quarantine.Host, resp.StatusCode, body)
	}
	return body, nil
}

// listEntries prints one line for each quarantined or suspected request.
func (inv *invocation) listEntries(ctx context.Context) error {
	list, err := inv.fetchEntries(ctx)
	if err != nil {
		return err
	}
	if inv.JSON {
		return inv.printJSON(list)
	}
	w := tabwriter.NewWriter(inv.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tSTATE\tLEFT\tENDPOINTS\tKEPT\tREQUEST")
	for i := range list {
		e := &list[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%s\n", e.Fingerprint, stateName(e), remainingHold(e), len(e.Crashes), e.Saved, e.Request)
	}
	return w.Flush()
}

// stateName returns the printed name of an entry's state: held, on trial or suspected.
func stateName(e *quarantine.Entry) string {
	switch {
	case e.Held:
		return "held"
	case e.OnTrial:
		return "on trial"
	}
	return "suspected"
}

// remainingHold returns the time until a held request is released, or "-" if it is not held.
func remainingHold(e *quarantine.Entry) string {
	if !e.Held {
		return "-"
	}
	return (time.Duration(e.LeftMS) * time.Millisecond).Round(time.Second).String()
}

// showEntry prints the entry of one request and the crashes under it.
func (inv *invocation) showEntry(ctx context.Context, text string) error {
	f, err := parseFingerprint(text)
	if err != nil {
		return err
	}
	list, err := inv.fetchEntries(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(list, func(e quarantine.Entry) bool { return e.Fingerprint == f })
	if i < 0 {
		return fmt.Errorf("host %s knows nothing of request %s; in fleets with relays, hosts receive only requests under which two endpoints crashed", inv.Quarantine.Host, f)
	}
	e := &list[i]
	if inv.JSON {
		return inv.printJSON(e)
	}
	fmt.Fprintf(inv.out, "%s: %s\n%s, for %s yet; held %d times; sent on trial %d times; kept in the store: %t\n", e.Fingerprint, e.Request, stateName(e), remainingHold(e), e.HoldCount, e.Trials, e.Saved)
	w := tabwriter.NewWriter(inv.out, 0, 4, 2, ' ', 0)
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

// releaseRequest ends a request's quarantine at all hosts.
func (inv *invocation) releaseRequest(ctx context.Context, text string) error {
	f, err := parseFingerprint(text)
	if err != nil {
		return err
	}
	if _, err := inv.callHost(ctx, http.MethodDelete, edge.PathQuarantine+"/"+f.String()); err != nil {
		return err
	}
	fmt.Fprintf(inv.out, "%s may run again at all hosts\n", f)
	return nil
}
