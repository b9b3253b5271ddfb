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

func event(seq int, id, text, finish string) string {
	return string(AppendEvent(nil, Piece{ID: id, Seq: seq, Text: text, Finish: finish}, "m"))
}

func TestEventStream(t *testing.T) {
	done := "data: " + DoneData + "\n\n"
	long := strings.Repeat("x", 3*streamBuffer)
	cases := []struct {
		name, in string
		texts    []string
		err      error
	}{
		{"whole", event(0, "a", "x ", "") + event(1, "a", "y", "stop") + done, []string{"x ", "y"}, io.EOF},
		{"longer than the buffer", event(0, "a", long, "") + event(1, "a", "y", "stop") + done, []string{long, "y"}, io.EOF},
		{"longer than allowed", event(0, "a", strings.Repeat("x", 2*maxLine), "") + done, nil, ErrLost},
		{"cut between pieces", event(0, "a", "x", ""), []string{"x"}, ErrLost},
		{"cut inside a piece", event(0, "a", "x", "")[:20], nil, ErrLost},
		{"end without finish", event(0, "a", "x", "") + done, []string{"x"}, ErrLost},
		{"another's piece", event(0, "a", "x", "") + event(1, "b", "y", ""), []string{"x"}, ErrWrongStream},
		{"another's piece by a longer ID", event(0, "ab", "x", ""), nil, ErrWrongStream},
		{"repeated", event(0, "a", "x", "") + event(0, "a", "x", ""), []string{"x"}, ErrOutOfOrder},
		{"missing", event(0, "a", "x", "") + event(2, "a", "x", ""), []string{"x"}, ErrOutOfOrder},
		{"after the last", event(0, "a", "x", "stop") + event(1, "a", "y", ""), []string{"x"}, ErrOutOfOrder},
		{"text like a field", event(0, "a", `"finish_reason":null`, "stop") + done, []string{`"finish_reason":null`}, io.EOF},
		{"no JSON", "id: 0\ndata: {\n\n", nil, ErrOutOfOrder},
		{"no number", "id: x\ndata: {}\n\n", nil, ErrOutOfOrder},
		{"other lines and CRLF", ": hello\r\nevent: x\r\n" + strings.ReplaceAll(event(0, "a", "x", "stop"), "\n", "\r\n") + done, []string{"x"}, io.EOF},
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

func TestMoreIsNotTheEmptyLine(t *testing.T) {
	s := newEventStream(io.NopCloser(strings.NewReader(event(0, "a", "x", "")+event(1, "a", "y", ""))), "a")
	_, err := s.Next()
	must.NoError(t, err)
	must.True(t, s.More())
	_, err = s.Next()
	must.NoError(t, err)
	must.False(t, s.More())
}

func FuzzEventStream(f *testing.F) {
	f.Add(event(0, "a", "x", "stop"))
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
