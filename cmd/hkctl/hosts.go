// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"crypto/rand"

	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/router"
	"github.com/heathkeel/heathkeel/sched"
	"github.com/heathkeel/heathkeel/settings"
)

// history prints the recent changes of the settings.
func (inv *invocation) history(ctx context.Context) error {
	h, _, err := inv.store().Load(ctx)
	if err != nil {
		return err
	}
	if inv.JSON {
		return inv.printJSON(h.Recent)
	}
	w := tabwriter.NewWriter(inv.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tCHANGE\tTIME\tAUTHOR\tVALUES\tMESSAGE")
	for _, c := range h.Recent {
		at := time.UnixMilli(c.AtMS).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\n", c.Revision, c.ID, at, c.Author, len(c.Paths)+c.MorePaths, c.Message)
	}
	return w.Flush()
}

// hostStatus is the status of one host, as the status command prints it.
type hostStatus struct {
	// Name and Address are those in the platform's host list.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Problem is the error of the status call; it is empty if the call succeeded.
	Problem string `json:"problem,omitempty"`
	// Status is the host's answer, or nil if the call failed.
	Status *router.Status `json:"status,omitempty"`
}

// hostTimeout bounds one call to a host.
const hostTimeout = 3 * time.Second

// status prints the revision in force on each host. If a host does not answer or is behind the
// head revision, it returns an error, with which hkctl exits with code 1.
func (inv *invocation) status(ctx context.Context) error {
	list, err := inv.kv.List(ctx)
	if err != nil {
		return err
	}
	var all []hostStatus
	for _, e := range list {
		if e.Endpoint {
			continue
		}
		s := hostStatus{Name: e.Name, Address: e.Address}
		var st router.Status
		if err := call(ctx, http.MethodGet, e.Address, router.PathStatus, &st); err != nil {
			s.Problem = err.Error()
		} else {
			s.Status = &st
		}
		all = append(all, s)
	}
	h, _, err := inv.store().Load(ctx)
	head := uint64(0)
	if err == nil {
		head = h.Revision
	}
	if inv.JSON {
		if err := inv.printJSON(all); err != nil {
			return err
		}
	} else {
		inv.printStatus(all, head)
	}
	return checkRevisions(all, head)
}

// checkRevisions returns an error if a host gave no status or is behind the head revision.
func checkRevisions(all []hostStatus, head uint64) error {
	lagging := 0
	for _, s := range all {
		if s.Status == nil || s.Status.Revision < head {
			lagging++
		}
	}
	if lagging > 0 {
		return fmt.Errorf("%d of %d hosts did not answer or are behind revision %d", lagging, len(all), head)
	}
	return nil
}

// printStatus prints one line for each host.
func (inv *invocation) printStatus(all []hostStatus, head uint64) {
	fmt.Fprintf(inv.out, "head revision %d\n", head)
	w := tabwriter.NewWriter(inv.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tADDRESS\tZONE\tREVISION\tREADY\tWAITING\tACTIVE\tKNOWS")
	for _, s := range all {
		if s.Status == nil {
			fmt.Fprintf(w, "%s\t%s\t-\t-\tsilent: %s\t-\t-\t-\n", s.Name, s.Address, s.Problem)
			continue
		}
		ready := "yes"
		if !s.Status.Ready {
			ready = s.Status.NotReadyReason
		}
		live := 0
		for _, h := range s.Status.Hosts {
			if h.Live() {
				live++
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d hosts\n", s.Name, s.Address, s.Status.Host.Zone,
			s.Status.Revision, ready, s.Status.Waiting, s.Status.Active, live)
	}
	_ = w.Flush()
}

// drain drains a host by a call to it, or an endpoint by a change of the settings.
func (inv *invocation) drain(ctx context.Context) error {
	list, err := inv.kv.List(ctx)
	if err != nil {
		return err
	}
	for _, e := range list {
		if e.Name != inv.Drain.Name || e.Endpoint {
			continue
		}
		if err := call(ctx, http.MethodPost, e.Address, router.PathDrain, nil); err != nil {
			return err
		}
		fmt.Fprintf(inv.out, "%s drains; it ends its requests and exits\n", e.Name)
		return nil
	}
	return inv.drainEndpoint(ctx)
}

// drainEndpoint sets the endpoint's state in the settings to leaving.
func (inv *invocation) drainEndpoint(ctx context.Context) error {
	_, d, err := inv.store().Load(ctx)
	if err != nil {
		return err
	}
	node := "endpoints/" + inv.Drain.Name
	if _, ok := d.Find(node, ""); !ok {
		return fmt.Errorf("no host or endpoint is named %q; see hkctl status and hkctl get", inv.Drain.Name)
	}
	e := settings.Edit{Node: node, Key: settings.KeyState, New: "leaving", Added: true}
	if old, ok := d.Find(node, settings.KeyState); ok {
		e.Old, e.Added = old, false
	}
	c := revision.Change{ID: rand.Text()[:12], Author: "hkctl drain", AtMS: time.Now().UnixMilli()}
	applied, err := inv.store().Apply(ctx, c, []settings.Edit{e})
	if err != nil {
		return err
	}
	fmt.Fprintf(inv.out, "%s leaves since revision %d: it gets no new work\n", inv.Drain.Name, applied.Revision)
	return nil
}

// explainRequest queries the hosts in turn and prints the decisions on a request from
// the first host that remembers them.
func (inv *invocation) explainRequest(ctx context.Context, id string) error {
	list, err := inv.kv.List(ctx)
	if err != nil {
		return err
	}
	for _, e := range list {
		var logs []sched.DecisionLog
		if e.Endpoint || call(ctx, http.MethodGet, e.Address, router.PathExplain+id, &logs) != nil {
			continue
		}
		return inv.printJSON(logs)
	}
	return errors.New("no host has a decision on this request in its memory; ask soon after the request, at the host that owns its ID")
}

// call sends a request to a host and decodes the JSON answer into out unless out is nil.
func call(ctx context.Context, method, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s: %s", address, resp.Status, b)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}
