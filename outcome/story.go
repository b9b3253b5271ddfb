// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package outcome

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxLineSize is the maximum length of a log line, in bytes.
const maxLineSize = 1 << 20

// Read returns the events of a request in a log, or those of all requests if id is empty.
// It skips lines that are no events or are incomplete. It also skips the text before the
// first brace of a line, so that logs to which a collector added prefixes can be read.
func Read(r io.Reader, id string) ([]Event, error) {
	out, _, err := readEvents(r, id)
	return out, err
}

// ReadStrict returns the events of all requests in a log. It returns an error if the line of an event is damaged.
func ReadStrict(r io.Reader) ([]Event, error) {
	out, damagedLine, err := readEvents(r, "")
	if err == nil && damagedLine > 0 {
		err = eris.Errorf("line %d is truncated or damaged; pass the complete log", damagedLine)
	}
	return out, err
}

// readEvents returns the events of a request, or of all requests if id is empty. It also returns
// the number of the first line that contains the message of an event and cannot be decoded, or 0.
func readEvents(r io.Reader, id string) (out []Event, damagedLine int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineSize)
	for n := 1; sc.Scan(); n++ {
		line := sc.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(id)) {
			continue
		}
		var e struct {
			Event
			Message string `json:"msg"`
		}
		err := json.Unmarshal(line[start:], &e)
		switch {
		case err != nil && damagedLine == 0 && bytes.Contains(line, []byte(`"msg":"`+Message+`"`)):
			damagedLine = n
		case err == nil && e.Message == Message && (id == "" || e.ID == id):
			out = append(out, e.Event)
		}
	}
	return out, damagedLine, sc.Err()
}

// Sort orders events by time.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		switch {
		case a.Time < b.Time:
			return -1
		case a.Time > b.Time:
			return 1
		}
		return 0
	})
}

// Describe returns a description of an event for operators.
func (e *Event) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s after %d ms", e.Host, e.Outcome, e.ElapsedMS)
	if e.Status > 0 {
		fmt.Fprintf(&b, ", status %d", e.Status)
	}
	if e.Endpoint != "" {
		fmt.Fprintf(&b, ", endpoint %s (first event predicted in %d ms), %d sends", e.Endpoint, e.PredictedMS, e.Sends)
	}
	if e.Sends > 0 {
		fmt.Fprintf(&b, ", list of endpoints %d ms old at the send and %d ms at the choice", e.ListAgeMS, e.ListAgeMS-e.ChoiceMS)
	}
	if e.Conn > 0 {
		fmt.Fprintf(&b, ", request %d on connection %d, answered after %d µs", e.ConnRequests, e.Conn, e.AnsweredUS)
	}
	if e.Events > 0 {
		fmt.Fprintf(&b, ", %d events passed on", e.Events)
	}
	fmt.Fprintf(&b, ", %d ms left, settings %d of age %d ms: %s", e.LeftMS, e.Revision, e.SettingsAgeMS, e.Why)
	return b.String()
}

// nearDeadlineMS is the time left until the deadline, in milliseconds, at or below which the
// end of an unfinished answer is attributed to the deadline.
const nearDeadlineMS = 100

// Cause returns one sentence that explains the last event and names the endpoint or
// workspace to examine.
func Cause(events []Event) string {
	if len(events) == 0 {
		return "No line tells of this request: it went well, it never came to these hosts, or its line was dropped (look for \"lines dropped\")."
	}
	e := &events[len(events)-1]
	nearDeadline := e.LeftMS <= nearDeadlineMS
	switch {
	case (e.Outcome == CallerGone || e.Outcome == Truncated) && nearDeadline:
		return fmt.Sprintf("The answer of endpoint %s was not whole by the deadline; %d events had come.", e.Endpoint, e.Events)
	case e.Outcome == CallerGone:
		return "The caller left before its answer was whole."
	case e.Outcome == Truncated && e.SilentMS > 0:
		return fmt.Sprintf("The stream was cut after %d events because host %s, to which it was relayed, was silent for %d ms and heard of no more, and it went on nowhere else.", e.Events, e.RelayedTo, e.SilentMS)
	case e.Outcome == Truncated:
		return fmt.Sprintf("The stream was cut after %d events because endpoint %s ended it and it may not go on elsewhere.", e.Events, e.Endpoint)
	case e.Outcome == EndpointFailed:
		return fmt.Sprintf("Endpoint %s answered with its own failure %d.", e.Endpoint, e.Status)
	case e.Outcome == Failed && e.Status == http.StatusGatewayTimeout:
		return fmt.Sprintf("Endpoint %s did not answer by the deadline.", e.Endpoint)
	case e.Outcome == Failed:
		return fmt.Sprintf("Endpoint %s was sent the request and its answer was lost; it may have run.", e.Endpoint)
	case e.Outcome == SentByStaleList:
		return fmt.Sprintf("It was sent to endpoint %s by a list that was %d ms old, and ended well, or the host ended.", e.Endpoint, e.ListAgeMS)
	case e.Outcome == SentByStaleSettings:
		return fmt.Sprintf("It was sent to endpoint %s by settings %d that were %d ms old, since the store failed for the host, and ended well, or the host ended.", e.Endpoint, e.Revision, e.SettingsAgeMS)
	case e.Outcome == Continued:
		return fmt.Sprintf("Its stream went on after event %s at endpoint %s of version %s, and ended well, or the host ended.", e.LastEvent, e.Endpoint, e.Version)
	case e.Outcome == NotRun && e.RelayedTo != "":
		return fmt.Sprintf("Host %s, to which it was relayed, did not run it; the request went on and ended well, or the host ended.", e.RelayedTo)
	case e.Outcome == NotRun:
		return fmt.Sprintf("Endpoint %s did not run it; the request went on and ended well, or the host ended.", e.Endpoint)
	case e.Outcome == SendLost:
		return fmt.Sprintf("The send to endpoint %s was lost; the request went on and ended well, or the host ended.", e.Endpoint)
	case e.Status == http.StatusTooManyRequests:
		return fmt.Sprintf("Workspace %s had used up its amount.", e.Workspace)
	case e.Status == http.StatusServiceUnavailable:
		return "The host refused it for a time: " + e.Why + "."
	}
	return fmt.Sprintf("The request itself was refused with %d: %s.", e.Status, e.Why)
}
