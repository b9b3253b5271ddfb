// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of checks of property tests, so that every run gives the same result;
// command-line flags take precedence.
func TestMain(m *testing.M) {
	for _, f := range []struct{ name, value string }{
		{"rapid.seed", "1"}, {"rapid.checks", "1500"}, {"rapid.nofailfile", "true"},
	} {
		if err := flag.Set(f.name, f.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
