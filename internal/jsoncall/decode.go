// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package jsoncall

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// Limits of what is held of one answer, in bytes. A faulty sender may go on without an end.
const (
	// MaxHeadBytes limits the head; the default of net/http is 10 MB.
	MaxHeadBytes = 64 << 10
	// MaxAnswerBytes limits the body, of which the largest are values of the store and lists of cache events.
	MaxAnswerBytes = 4 << 20
)

// ErrTooLarge means that the body of an answer is larger than MaxAnswerBytes.
var ErrTooLarge = eris.Errorf("answer is larger than %d bytes; check the version of its sender", MaxAnswerBytes)

// Decode decodes the JSON value in the body of an answer.
func Decode(body io.Reader, out any) error {
	limited := &io.LimitedReader{R: body, N: MaxAnswerBytes + 1}
	err := json.NewDecoder(limited).Decode(out)
	if limited.N == 0 {
		return ErrTooLarge
	}
	return err
}
