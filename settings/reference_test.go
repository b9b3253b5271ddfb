// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package settings

import (
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md")

//go:generate go test -run TestReference -update

// TestReference checks that docs/SETTINGS.md agrees with the table of keys.
func TestReference(t *testing.T) {
	const page = "../docs/SETTINGS.md"
	if *update {
		must.NoError(t, os.WriteFile(page, Reference(), 0o644))
	}
	have, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, string(Reference()), string(have), must.Sprint("run go generate ./settings"))
}
