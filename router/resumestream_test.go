// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package router

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/endpoint"
	"github.com/heathkeel/heathkeel/settings"
)

// endedStream is a stream without further pieces.
type endedStream struct{}

func (endedStream) Next() (endpoint.Piece, error) { return endpoint.Piece{}, io.EOF }
func (endedStream) More() bool                    { return false }
func (endedStream) Close() error                  { return nil }

// resumedEngine answers attempts to resume a stream with errors, and then with the stream.
type resumedEngine struct {
	endpoint.Engine
	errs     []error
	attempts int
}

func (e *resumedEngine) Resume(context.Context, string, int) (endpoint.Stream, error) {
	e.attempts++
	if e.attempts <= len(e.errs) {
		return nil, e.errs[e.attempts-1]
	}
	return endedStream{}, nil
}

// repeated returns a slice of n times err.
func repeated(err error, n int) []error {
	errs := make([]error, n)
	for i := range errs {
		errs[i] = err
	}
	return errs
}

// TestResumeStream checks after how many attempts a broken stream is given up: soon if its engine takes no connections, since it has
// ended then, and after a second if it takes and breaks them.
func TestResumeStream(t *testing.T) {
	cases := []struct {
		name     string
		errs     []error
		want     error
		attempts int
	}{
		{"at once", nil, nil, 1},
		{"the path is broken for a moment", repeated(endpoint.ErrLost, 10), nil, 11},
		{"the path stays broken", repeated(endpoint.ErrLost, 100), endpoint.ErrLost, maxResumeAttempts},
		{"the engine has ended", repeated(endpoint.ErrNotSent, 100), endpoint.ErrLost, maxRefusedResumes},
		{"the engine ends later", append(repeated(endpoint.ErrLost, 5), repeated(endpoint.ErrNotSent, 100)...), endpoint.ErrLost, 5 + maxRefusedResumes},
		{"the engine has started again", []error{endpoint.ErrNotSent, endpoint.ErrUnknownStream}, endpoint.ErrUnknownStream, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &Router{}
				e := &resumedEngine{errs: tc.errs}
				j := &job{settings: &settings.Effective{}}
				err := r.resumeStream(t.Context(), &engineRequest{job: j, engine: e}, &endpoint.CheckedStream{Stream: endedStream{}})
				must.ErrorIs(t, err, tc.want)
				must.EqOp(t, tc.attempts, e.attempts)
			})
		})
	}
}
