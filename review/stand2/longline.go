// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"strings"

	"github.com/heathkeel/heathkeel/internal/site"
)

// Lengths of the text in the last event of longLine. With the longer one, the line "data: TEXT" has 4,101 bytes.
const (
	shortText = 1095
	longText  = 4095
)

// longLineEvents is the number of events of its streams.
const longLineEvents = 6

// longLine is the case of an event with a long line: runners, clients and the platform are all sound.
func longLine(f *fleet) (bool, error) {
	f.configure()
	if err := f.startAll(2, 2, 2); err != nil {
		return false, err
	}
	length := shortText
	if f.trouble {
		length = longText
	}
	var want strings.Builder
	for n := 1; n < longLineEvents; n++ {
		want.WriteString(eventText(n))
	}
	want.WriteString(lastText(longLineEvents, length))
	broken := false
	for _, path := range []string{"/draft/", "/review/"} {
		for i := range 4 {
			a := f.request(f.hosts[i%len(f.hosts)], "POST", fmt.Sprintf("%s?events=%d&pace=20&last=%d", path, longLineEvents, length))
			if a.complete() && a.status == 200 && a.body != want.String() {
				f.note("%s appears complete, with %d of %d bytes and %d of %d events", a.id, len(a.body), want.Len(), strings.Count(a.body, "\ndata: "), longLineEvents)
				broken = true
			}
		}
	}
	return broken, nil
}

// startAll starts runners of both services and n hosts.
func (f *fleet) startAll(engines, plain, n int) error {
	for i := range engines {
		if _, err := f.startRunner(fmt.Sprintf("i-e%d", i+1), site.Engines); err != nil {
			return err
		}
	}
	for i := range plain {
		if _, err := f.startRunner(fmt.Sprintf("i-p%d", i+1), site.Plain); err != nil {
			return err
		}
	}
	return f.startHosts(n)
}
