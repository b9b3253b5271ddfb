// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package endpoint

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func encodeEvent(seq int, id, text, finish string) string {
	return string(AppendEvent(nil, Piece{ID: id, Seq: seq, Text: text, Finish: finish}, "m"))
}

func TestEventStream(t *testing.T) {
	done := "data: " + DoneData + "\n\n"
	longText := strings.Repeat("x", 3*streamBufferSize)
	cases := []struct {
		name, in string
		texts    []string
		err      error
	}{
		{"whole", encodeEvent(0, "a", "x ", "") + encodeEvent(1, "a", "y", "stop") + done, []string{"x ", "y"}, io.EOF},
		{"longer than the buffer", encodeEvent(0, "a", longText, "") + encodeEvent(1, "a", "y", "stop") + done, []string{longText, "y"}, io.EOF},
		{"longer than allowed", encodeEvent(0, "a", strings.Repeat("x", 2*maxLineBytes), "") + done, nil, ErrLost},
		{"cut between pieces", encodeEvent(0, "a", "x", ""), []string{"x"}, ErrLost},
		{"cut inside a piece", encodeEvent(0, "a", "x", "")[:20], nil, ErrLost},
		{"end without finish", encodeEvent(0, "a", "x", "") + done, []string{"x"}, ErrLost},
		{"piece of another stream", encodeEvent(0, "a", "x", "") + encodeEvent(1, "b", "y", ""), []string{"x"}, ErrWrongStream},
		{"piece of another stream with a longer ID", encodeEvent(0, "ab", "x", ""), nil, ErrWrongStream},
		{"repeated", encodeEvent(0, "a", "x", "") + encodeEvent(0, "a", "x", ""), []string{"x"}, ErrOutOfOrder},
		{"missing", encodeEvent(0, "a", "x", "") + encodeEvent(2, "a", "x", ""), []string{"x"}, ErrOutOfOrder},
		{"after the last", encodeEvent(0, "a", "x", "stop") + encodeEvent(1, "a", "y", ""), []string{"x"}, ErrOutOfOrder},
		{"text like a field", encodeEvent(0, "a", `"finish_reason":null`, "stop") + done, []string{`"finish_reason":null`}, io.EOF},
		{"no JSON", "id: 0\ndata: {\n\n", nil, ErrOutOfOrder},
		{"no number", "id: x\ndata: {}\n\n", nil, ErrOutOfOrder},
		{"other lines and CRLF", ": hello\r\nevent: x\r\n" + strings.ReplaceAll(encodeEvent(0, "a", "x", "stop"), "\n", "\r\n") + done, []string{"x"}, io.EOF},
	}
	for _, c := range cases {
		s := &CheckedStream{Stream: newEventStream(io.NopCloser(strings.NewReader(c.in)), "a"), ID: "a"}
		var texts []string
		var err error
		for {
			var p Piece
			if p, err = s.Next(); err != nil {
				break
			}
			texts = append(texts, p.Content())
		}
		must.Eq(t, c.texts, texts, must.Sprint(c.name))
		must.ErrorIs(t, err, c.err, must.Sprint(c.name))
	}
}

func TestMoreIgnoresEmptyLine(t *testing.T) {
	s := newEventStream(io.NopCloser(strings.NewReader(encodeEvent(0, "a", "x", "")+encodeEvent(1, "a", "y", ""))), "a")
	_, err := s.Next()
	must.NoError(t, err)
	must.True(t, s.More())
	_, err = s.Next()
	must.NoError(t, err)
	must.False(t, s.More())
}

func FuzzEventStream(f *testing.F) {
	f.Add(encodeEvent(0, "a", "x", "stop"))
	f.Add("id: 1\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		s := &CheckedStream{Stream: newEventStream(io.NopCloser(strings.NewReader(in)), "a"), ID: "a"}
		for {
			if _, err := s.Next(); err != nil {
				return
			}
		}
	})
}
