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

// history shows the last changes.
func (t *tool) history(ctx context.Context) error {
	h, _, err := t.store().Load(ctx)
	if err != nil {
		return err
	}
	if t.JSON {
		return t.printJSON(h.Recent)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tCHANGE\tTIME\tAUTHOR\tVALUES\tMESSAGE")
	for _, c := range h.Recent {
		at := time.UnixMilli(c.AtMS).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\n", c.Revision, c.ID, at, c.Author, len(c.Paths)+c.MorePaths, c.Message)
	}
	return w.Flush()
}

// hostStatus is one host in the answer of status.
type hostStatus struct {
	// Name and Address come from the platform's list.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Problem says why the host gave no status, or is empty.
	Problem string `json:"problem,omitempty"`
	// Status is the host's own word.
	Status *router.Status `json:"status,omitempty"`
}

// hostTimeout bounds the question to one host.
const hostTimeout = 3 * time.Second

// status shows the revision in force on each host; exit 1 if one is behind or silent.
func (t *tool) status(ctx context.Context) error {
	list, err := t.pc.List(ctx)
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
	h, _, err := t.store().Load(ctx)
	head := uint64(0)
	if err == nil {
		head = h.Revision
	}
	if t.JSON {
		if err := t.printJSON(all); err != nil {
			return err
		}
	} else {
		t.showStatus(all, head)
	}
	return behind(all, head)
}

// behind returns an error if a host is silent or not at the head.
func behind(all []hostStatus, head uint64) error {
	n := 0
	for _, s := range all {
		if s.Status == nil || s.Status.Revision < head {
			n++
		}
	}
	if n > 0 {
		return fmt.Errorf("%d of %d hosts are silent or behind revision %d", n, len(all), head)
	}
	return nil
}

// showStatus prints a line for each host.
func (t *tool) showStatus(all []hostStatus, head uint64) {
	fmt.Fprintf(t.out, "head revision %d\n", head)
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
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

// drain makes a host leave by asking it, or an endpoint by a change of settings.
func (t *tool) drain(ctx context.Context) error {
	list, err := t.pc.List(ctx)
	if err != nil {
		return err
	}
	for _, e := range list {
		if e.Name != t.Drain.Name || e.Endpoint {
			continue
		}
		if err := call(ctx, http.MethodPost, e.Address, router.PathDrain, nil); err != nil {
			return err
		}
		fmt.Fprintf(t.out, "%s drains; it ends its requests and exits\n", e.Name)
		return nil
	}
	return t.drainEndpoint(ctx)
}

// drainEndpoint sets an endpoint's state to leaving.
func (t *tool) drainEndpoint(ctx context.Context) error {
	_, d, err := t.store().Load(ctx)
	if err != nil {
		return err
	}
	node := "endpoints/" + t.Drain.Name
	if _, ok := d.Find(node, ""); !ok {
		return fmt.Errorf("no host or endpoint %q; see hkctl status and hkctl get", t.Drain.Name)
	}
	e := settings.Edit{Node: node, Key: settings.KeyState, New: "leaving", Added: true}
	if old, ok := d.Find(node, settings.KeyState); ok {
		e.Old, e.Added = old, false
	}
	c := revision.Change{ID: rand.Text()[:12], Author: "hkctl drain", AtMS: time.Now().UnixMilli()}
	done, err := t.store().Apply(ctx, c, []settings.Edit{e})
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s leaves since revision %d: it gets no new work\n", t.Drain.Name, done.Revision)
	return nil
}

// explainRequest asks every host how a request was decided.
func (t *tool) explainRequest(ctx context.Context, id string) error {
	list, err := t.pc.List(ctx)
	if err != nil {
		return err
	}
	for _, e := range list {
		var logs []sched.DecisionLog
		if e.Endpoint || call(ctx, http.MethodGet, e.Address, router.PathExplain+id, &logs) != nil {
			continue
		}
		return t.printJSON(logs)
	}
	return errors.New("no host remembers a decision on this request; ask soon after it, at the host that owns its ID")
}

// call sends a request to a host and decodes its JSON answer into out, if out is not nil.
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
