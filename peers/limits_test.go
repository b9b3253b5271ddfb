// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// deflated returns a datagram of a kind with the given content.
func deflated(t *testing.T, kind byte, content string) []byte {
	t.Helper()
	var b bytes.Buffer
	b.WriteByte(kind)
	if kind == kindMemberDigest {
		b.Write(binary.BigEndian.AppendUint32(nil, 1))
	}
	w, err := flate.NewWriter(&b, flate.BestCompression)
	must.NoError(t, err)
	_, err = io.WriteString(w, content)
	must.NoError(t, err)
	must.NoError(t, w.Close())
	must.Less(t, maxDatagramSize, b.Len())
	return b.Bytes()
}

// TestDatagramsWithoutEnd decodes datagrams whose content is far larger than they are. It guards against datagrams
// that take much of the memory of a small host: with the limit of 1 MB and a decoder that buffers it, each took 4.2 MB.
func TestDatagramsWithoutEnd(t *testing.T) {
	const size = 8 << 20
	fill := func(first, next string) string { return first + strings.Repeat(next, size/len(next)) }
	for _, tc := range []struct{ name, content string }{
		{"one string", fill(`{"h":"`, "x")},
		{"white space", fill("", " ")},
		{"empty arrays", fill(`{"k":[`, "[],")},
		{"open arrays", fill("", "[")},
		{"empty objects", fill(`{"k":[`, "{},")},
		{"objects in objects", fill("", `{"a":`)},
		{"names", fill(`{"o":{`, `"a":{},`)},
		{"numbers", fill(`{"k":[`, "1,")},
	} {
		for _, kind := range []byte{kindHeartbeat, kindMember, kindDigest, kindMemberDigest} {
			t.Run(tc.name+", kind "+string(kind), func(t *testing.T) {
				data := deflated(t, kind, tc.content)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				_, err := decode(data)
				runtime.ReadMemStats(&after)
				must.Error(t, err)
				must.Less(t, 1<<20, after.TotalAlloc-before.TotalAlloc)
			})
		}
	}
}

// TestManyElements decodes short content with very many elements, which takes more memory than its bytes.
func TestManyElements(t *testing.T) {
	for _, kind := range []byte{kindHeartbeat, kindDigest} {
		data := deflated(t, kind, `{"k":[`+strings.Repeat("{},", maxElements)+`{}]}`)
		_, err := decode(data)
		must.ErrorIs(t, err, errTooLarge)
		data = deflated(t, kind, `{"zz":[`+strings.Repeat("1,", maxElements/2)+`1]}`)
		_, err = decode(data)
		must.NoError(t, err)
	}
}
