// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package once

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of property tests so that their results
// are reproducible. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for _, f := range []struct{ name, value string }{
		{"rapid.seed", "1"}, {"rapid.checks", "3000"}, {"rapid.steps", "100"}, {"rapid.nofailfile", "true"},
	} {
		if err := flag.Set(f.name, f.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
