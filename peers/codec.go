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

	"github.com/rotisserie/eris"
)

// deflaters are reused: a new one allocates more than a heartbeat's worth.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return w
}}

// The first byte of a datagram tells what follows.
const (
	kindBeat   = 'b' // deflated JSON of a Beat
	kindUpdate = 'u' // JSON of an Update, too short to be worth deflating
)

// encode writes a heartbeat as deflated JSON: bytes between zones are paid for.
func encode(b *Beat) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(kindBeat)
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

// encodeUpdate writes an update.
func encodeUpdate(u *Update) ([]byte, error) {
	b, err := json.Marshal(u)
	return append([]byte{kindUpdate}, b...), err
}

// errKind means that a datagram is of no known kind.
var errKind = eris.New("datagram is of no known kind; its sender may run another version")

// decode reads a datagram: a *Beat or an *Update.
func decode(data []byte) (any, error) {
	if len(data) == 0 {
		return nil, errKind
	}
	switch kind, data := data[0], data[1:]; kind {
	case kindBeat:
		return decodeBeat(data)
	case kindUpdate:
		var u Update
		return &u, json.Unmarshal(data, &u)
	}
	return nil, errKind
}

// decodeBeat reads what follows the first byte of a heartbeat.
func decodeBeat(data []byte) (*Beat, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	var b Beat
	if err := json.NewDecoder(io.LimitReader(r, largestPlain)).Decode(&b); err != nil {
		return nil, err
	}
	return &b, nil
}
