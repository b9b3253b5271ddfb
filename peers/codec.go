// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"
)

// deflaters are reused: a new one allocates more than a heartbeat's worth.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}}

// encode writes a heartbeat as deflated JSON: bytes between zones are paid for.
func encode(b *Beat) ([]byte, error) {
	var out bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if err := json.NewEncoder(w).Encode(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// largestPlain bounds a heartbeat before it was deflated.
const largestPlain = 1 << 20

// decode reads a heartbeat.
func decode(data []byte) (*Beat, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	var b Beat
	if err := json.NewDecoder(io.LimitReader(r, largestPlain)).Decode(&b); err != nil {
		return nil, err
	}
	return &b, nil
}
