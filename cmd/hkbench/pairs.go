// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/heathkeel/heathkeel/internal/pairs"
	"github.com/heathkeel/heathkeel/platform"
)

// pairsArgs are the arguments of the pairs subcommand.
type pairsArgs struct {
	A string `arg:"positional,required" help:"folder of one version's reports, SITE DAY SEED.txt each"`
	B string `arg:"positional,required" help:"the same of the other version"`
}

// run compares the reports of the days that both versions have played and prints the
// differences.
func (a *pairsArgs) run(w io.Writer) error {
	files, err := filepath.Glob(filepath.Join(a.A, "*.txt"))
	if err != nil {
		return eris.Wrap(err, "cannot list the reports of the folder")
	}
	slices.Sort(files)
	var all []pairs.Pair
	for _, f := range files {
		p, ok, err := readPair(f, filepath.Join(a.B, filepath.Base(f)))
		if err != nil {
			return err
		}
		if ok {
			all = append(all, p)
		}
	}
	if len(all) == 0 {
		return eris.Errorf("no day has a report in both %s and %s; play some days with deploy/compare", a.A, a.B)
	}
	return pairs.Write(w, all)
}

// readPair reads the two reports of a day; it returns false if b does not exist.
func readPair(a, b string) (pairs.Pair, bool, error) {
	var p pairs.Pair
	name := strings.TrimSuffix(filepath.Base(a), ".txt")
	if n, err := fmt.Sscan(name, &p.Site, &p.Day, &p.Seed); n < 3 {
		return p, false, eris.Wrapf(err, "report %s is not named SITE DAY SEED.txt; move it out of the folder", a)
	}
	if _, err := os.Stat(b); os.IsNotExist(err) {
		return p, false, nil
	}
	for _, side := range []struct {
		path string
		to   *platform.DayReport
	}{{a, &p.A}, {b, &p.B}} {
		f, err := os.Open(side.path)
		if err != nil {
			return p, false, eris.Wrap(err, "cannot open report")
		}
		*side.to, err = platform.ReadDayReport(f)
		_ = f.Close() // read only, so that no data can be lost
		if err != nil {
			return p, false, eris.Wrap(err, side.path)
		}
	}
	return p, true, nil
}
