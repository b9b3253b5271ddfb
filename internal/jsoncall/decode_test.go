// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package jsoncall

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestDecode decodes answers of sizes near the limit, which counts the bytes of the value with its quotes.
func TestDecode(t *testing.T) {
	cases := []struct {
		name  string
		bytes int
		err   error
	}{
		{"small", 2, nil},
		{"largest", MaxAnswerBytes, nil},
		{"too large", MaxAnswerBytes + 1, ErrTooLarge},
		{"much too large", 2 * MaxAnswerBytes, ErrTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Repeat("x", tc.bytes-2)
			var out string
			err := Decode(strings.NewReader(`"`+text+`"`), &out)
			must.ErrorIs(t, err, tc.err)
			if tc.err == nil {
				must.EqOp(t, text, out)
			}
		})
	}
	var out string
	must.ErrorIs(t, Decode(strings.NewReader(`"cut`), &out), io.ErrUnexpectedEOF)
}
