// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"crypto/rand"

	"github.com/heathkeel/heathkeel/revision"
	"github.com/heathkeel/heathkeel/settings"
)

// baseFile keeps, beside a declaration, the tree that it was edited from.
const baseFile = ".heathkeel-base.json"

// base is the content of baseFile.
type base struct {
	// Revision is the one that the directory was got or applied at.
	Revision uint64 `json:"revision"`
	// Declaration is the tree at that revision.
	Declaration settings.Declaration `json:"declaration"`
}

// load reads and checks a directory.
func load(dir string) (*settings.Parsed, error) {
	if st, err := os.Stat(dir); err != nil || !st.IsDir() {
		return nil, fmt.Errorf("%w: %s is no directory", errUsage, dir)
	}
	files, err := settings.ReadDir(os.DirFS(dir))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%w: %s has no .yaml files", errUsage, dir)
	}
	p := settings.Parse(files)
	if len(p.Faults) > 0 {
		return p, p.Faults
	}
	return p, nil
}

// check checks what is named, one thing after the other.
func (t *tool) check() error {
	c := t.Check
	if c.Dir == "" && c.HostFile == "" && c.Configuration == "" {
		return fmt.Errorf("%w: give a directory, --host-file or --configuration", errUsage)
	}
	checks := []struct {
		path string
		do   func(string) error
	}{{c.Dir, t.checkDir}, {c.HostFile, t.checkHostFile}, {c.Configuration, t.checkConfiguration}}
	for _, k := range checks {
		if k.path == "" {
			continue
		}
		if err := k.do(k.path); err != nil {
			return err
		}
	}
	return nil
}

// checkDir checks a directory.
func (t *tool) checkDir(dir string) error {
	p, err := load(dir)
	var faults settings.Faults
	if t.JSON && errors.As(err, &faults) {
		_ = t.printJSON(faults)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "ok: %d values\n", len(p.Declaration))
	return nil
}

// edits returns what a directory changes, against the tree that it was edited
// from if that is known, otherwise against the tree in force.
func (t *tool) edits(ctx context.Context, dir string) ([]settings.Edit, *settings.Parsed, error) {
	p, err := load(dir)
	if err != nil {
		return nil, nil, err
	}
	if b, ok, err := readBase(dir); err != nil {
		return nil, nil, err
	} else if ok {
		return settings.Diff(b.Declaration, p.Declaration), p, nil
	}
	_, cur, err := t.store().Load(ctx)
	if err != nil {
		return nil, nil, err
	}
	return settings.Diff(cur, p.Declaration), p, nil
}

// readBase reads a directory's base, if it has one.
func readBase(dir string) (base, bool, error) {
	var b base
	raw, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return b, false, nil
	}
	if err != nil {
		return b, false, err
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		return b, false, fmt.Errorf("%s is not readable: %w; remove it to compare with the tree in force", baseFile, err)
	}
	return b, true, nil
}

// writeBase notes the tree in force beside a directory.
func (t *tool) writeBase(ctx context.Context, dir string) error {
	h, d, err := t.store().Load(ctx)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(base{h.Revision, d})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, baseFile), raw, 0o644)
}

// diff compares a directory with the tree in force.
func (t *tool) diff(ctx context.Context) error {
	p, err := load(t.Diff.Dir)
	if err != nil {
		return err
	}
	_, cur, err := t.store().Load(ctx)
	if err != nil {
		return err
	}
	edits := settings.Diff(cur, p.Declaration)
	if t.JSON {
		if err := t.printJSON(edits); err != nil {
			return err
		}
	} else {
		t.showEdits(edits)
	}
	if len(edits) > 0 {
		return errDiffers
	}
	return nil
}

// showEdits prints edits, a line each.
func (t *tool) showEdits(edits []settings.Edit) {
	for _, e := range edits {
		switch {
		case e.Added:
			fmt.Fprintf(t.out, "+ %s = %q\n", e.Path(), e.New)
		case e.Removed:
			fmt.Fprintf(t.out, "- %s (was %q)\n", e.Path(), e.Old)
		default:
			fmt.Fprintf(t.out, "~ %s = %q (was %q)\n", e.Path(), e.New, e.Old)
		}
	}
}

// apply puts a directory in force.
func (t *tool) apply(ctx context.Context) error {
	edits, _, err := t.edits(ctx, t.Apply.Dir)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		fmt.Fprintln(t.out, "nothing to change")
		return nil
	}
	c := revision.Change{
		ID: t.Apply.Change, Author: t.author(), Message: t.Apply.Message, AtMS: time.Now().UnixMilli(),
	}
	if c.ID == "" {
		c.ID = strings.ToLower(rand.Text()[:12])
	}
	done, err := t.store().Apply(ctx, c, edits)
	var conflict *revision.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflict
	case err != nil:
		return fmt.Errorf("%w\nrun again with --change %s: the change is then applied once, whatever became of this try", err, c.ID)
	}
	if err := t.writeBase(ctx, t.Apply.Dir); err != nil {
		fmt.Fprintf(t.out, "applied, but %s could not be written: %v\n", baseFile, err)
	}
	if t.JSON {
		return t.printJSON(done)
	}
	fmt.Fprintf(t.out, "revision %d, change %s: %d values\n", done.Revision, done.ID, len(edits))
	return nil
}

// author is who makes a change.
func (t *tool) author() string {
	if t.Apply.Author != "" {
		return t.Apply.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// get shows or writes the tree in force.
func (t *tool) get(ctx context.Context) error {
	_, d, err := t.store().Load(ctx)
	if err != nil {
		return err
	}
	if t.JSON {
		return t.printJSON(d)
	}
	text := settings.Format(d)
	if t.Get.Dir == "" {
		_, err := t.out.Write(text)
		return err
	}
	if err := os.MkdirAll(t.Get.Dir, 0o755); err != nil {
		return err
	}
	// Other files of the directory would declare the same paths again.
	old, err := settings.ReadDir(os.DirFS(t.Get.Dir))
	if err != nil {
		return err
	}
	for _, f := range old {
		if f.Name != treeFile {
			return fmt.Errorf("%s has %s; get writes one file, so give an empty directory", t.Get.Dir, f.Name)
		}
	}
	if err := os.WriteFile(filepath.Join(t.Get.Dir, treeFile), text, 0o644); err != nil {
		return err
	}
	return t.writeBase(ctx, t.Get.Dir)
}

// treeFile is the file that get writes.
const treeFile = "tree.yaml"

// explain shows the values in force at a node, or how a request was decided.
func (t *tool) explain(ctx context.Context) error {
	if len(t.Explain.Logs) > 0 {
		return t.explainFromLogs(t.Explain.Path)
	}
	node := strings.Trim(t.Explain.Path, "/")
	if strings.Count(node, ".") == 4 && !strings.Contains(node, "/") {
		return t.explainRequest(ctx, node)
	}
	var d settings.Declaration
	sources := map[string]settings.Source{}
	if t.Explain.Dir != "" {
		p, err := load(t.Explain.Dir)
		if err != nil {
			return err
		}
		d, sources = p.Declaration, p.Sources
	} else {
		var err error
		if _, d, err = t.store().Load(ctx); err != nil {
			return err
		}
	}
	list, ok := settings.Explain(d, node)
	if !ok {
		return fmt.Errorf("no node %q; name one like workspaces/NAME/services/NAME, or \"\" for the fleet", node)
	}
	if t.JSON {
		return t.printJSON(list)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tVALUE\tFROM")
	for _, x := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\n", x.Key, x.Value, place(x, sources))
	}
	return w.Flush()
}

// place says where a value comes from, with file and line if they are known.
func place(x settings.Explanation, sources map[string]settings.Source) string {
	node := x.From
	if node == "fleet" {
		node = ""
	}
	if s, ok := sources[settings.Entry{Node: node, Key: x.Key}.Path()]; ok {
		return fmt.Sprintf("%s (%s:%d)", x.From, s.File, s.Line)
	}
	return x.From
}
