// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package ingress

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// TestUnreadHeadersAreNamedOnce checks that each response header that the host does not read is named once, and that their number is
// limited.
func TestUnreadHeadersAreNamedOnce(t *testing.T) {
	var l headerLog
	l.init(&Headers{AttemptID: "Example-Id", Known: []string{"Example-Load"}})
	h := http.Header{"Example-Id": {"1"}, "Example-Load": {"1"}, "Content-Type": {"text/plain"}}
	must.SliceEmpty(t, l.unread(h))
	h.Set("Example-Quota", "3")
	must.Eq(t, []string{"Example-Quota"}, l.unread(h))
	must.SliceEmpty(t, l.unread(h))
	named := 1
	for i := range 2 * maxLoggedHeaders {
		named += len(l.unread(http.Header{fmt.Sprint("Example-", i): {"1"}}))
	}
	must.Eq(t, maxLoggedHeaders, named)
}
