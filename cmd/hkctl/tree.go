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

// baseFile is a file in a declaration's directory that holds the tree from which the
// declaration was edited.
const baseFile = ".heathkeel-base.json"

// base is the content of baseFile: the common ancestor for a comparison.
type base struct {
	// Revision is the settings revision at the directory's last get or apply.
	Revision uint64 `json:"revision"`
	// Declaration is the tree of that revision.
	Declaration settings.Declaration `json:"declaration"`
}

// loadDir reads and validates a directory of declarations. If the declarations have
// faults, it returns both the parsed declarations and the faults.
func loadDir(dir string) (*settings.Parsed, error) {
	if st, err := os.Stat(dir); err != nil || !st.IsDir() {
		return nil, fmt.Errorf("%w: %s is not a readable directory", errUsage, dir)
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

// check checks the directory and the files given, in turn, and stops at the first error.
func (inv *invocation) check() error {
	c := inv.Check
	if c.Dir == "" && c.HostFile == "" && c.Configuration == "" {
		return fmt.Errorf("%w: nothing to check; give a directory, --host-file or --configuration", errUsage)
	}
	checks := []struct {
		path string
		do   func(string) error
	}{{c.Dir, inv.checkDir}, {c.HostFile, inv.checkHostFile}, {c.Configuration, inv.checkConfiguration}}
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

// checkDir checks a directory of declarations; with --json it prints the faults found.
func (inv *invocation) checkDir(dir string) error {
	p, err := loadDir(dir)
	var faults settings.Faults
	if inv.JSON && errors.As(err, &faults) {
		_ = inv.printJSON(faults)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(inv.out, "ok: %d values\n", len(p.Declaration))
	return nil
}

// edits returns the changes that a directory makes to its base, or to the tree in
// force if the directory has no base.
func (inv *invocation) edits(ctx context.Context, dir string) ([]settings.Edit, *settings.Parsed, error) {
	p, err := loadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	if b, ok, err := readBase(dir); err != nil {
		return nil, nil, err
	} else if ok {
		return settings.Diff(b.Declaration, p.Declaration), p, nil
	}
	_, cur, err := inv.store().Load(ctx)
	if err != nil {
		return nil, nil, err
	}
	return settings.Diff(cur, p.Declaration), p, nil
}

// readBase reads a directory's base and reports whether it has one.
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
		return b, false, fmt.Errorf("%s is not valid JSON of a base: %w; remove it to compare with the tree in force", baseFile, err)
	}
	return b, true, nil
}

// writeBase stores the tree in force as a directory's base.
func (inv *invocation) writeBase(ctx context.Context, dir string) error {
	h, d, err := inv.store().Load(ctx)
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
func (inv *invocation) diff(ctx context.Context) error {
	p, err := loadDir(inv.Diff.Dir)
	if err != nil {
		return err
	}
	_, cur, err := inv.store().Load(ctx)
	if err != nil {
		return err
	}
	edits := settings.Diff(cur, p.Declaration)
	if inv.JSON {
		if err := inv.printJSON(edits); err != nil {
			return err
		}
	} else {
		inv.printEdits(edits)
	}
	if len(edits) > 0 {
		return errDiffers
	}
	return nil
}

// printEdits prints one line for each edit.
func (inv *invocation) printEdits(edits []settings.Edit) {
	for _, e := range edits {
		switch {
		case e.Added:
			fmt.Fprintf(inv.out, "+ %s = %q\n", e.Path(), e.New)
		case e.Removed:
			fmt.Fprintf(inv.out, "- %s (was %q)\n", e.Path(), e.Old)
		default:
			fmt.Fprintf(inv.out, "~ %s = %q (was %q)\n", e.Path(), e.New, e.Old)
		}
	}
}

// apply puts a directory in force.
func (inv *invocation) apply(ctx context.Context) error {
	edits, _, err := inv.edits(ctx, inv.Apply.Dir)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		fmt.Fprintln(inv.out, "nothing to change")
		return nil
	}
	c := revision.Change{
		ID: inv.Apply.Change, Author: inv.author(), Message: inv.Apply.Message, AtMS: time.Now().UnixMilli(),
	}
	if c.ID == "" {
		c.ID = strings.ToLower(rand.Text()[:12])
	}
	applied, err := inv.store().Apply(ctx, c, edits)
	var conflict *revision.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflict
	case err != nil:
		return fmt.Errorf("%w\nrun again with --change %s: the change is then applied exactly once, whether or not this attempt succeeded", err, c.ID)
	}
	if err := inv.writeBase(ctx, inv.Apply.Dir); err != nil {
		fmt.Fprintf(inv.out, "applied, but %s could not be written: %v\n", baseFile, err)
	}
	if inv.JSON {
		return inv.printJSON(applied)
	}
	fmt.Fprintf(inv.out, "revision %d, change %s: %d values\n", applied.Revision, applied.ID, len(edits))
	return nil
}

// author returns the author of a change: the one given, or the user's name.
func (inv *invocation) author() string {
	if inv.Apply.Author != "" {
		return inv.Apply.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// get shows or writes the tree in force.
func (inv *invocation) get(ctx context.Context) error {
	_, d, err := inv.store().Load(ctx)
	if err != nil {
		return err
	}
	if inv.JSON {
		return inv.printJSON(d)
	}
	text := settings.Format(d)
	if inv.Get.Dir == "" {
		_, err := inv.out.Write(text)
		return err
	}
	if err := os.MkdirAll(inv.Get.Dir, 0o755); err != nil {
		return err
	}
	// Declarations in other files of the directory would duplicate the paths of treeFile.
	old, err := settings.ReadDir(os.DirFS(inv.Get.Dir))
	if err != nil {
		return err
	}
	for _, f := range old {
		if f.Name != treeFile {
			return fmt.Errorf("directory %s already has %s; get writes a single file, so give an empty directory", inv.Get.Dir, f.Name)
		}
	}
	if err := os.WriteFile(filepath.Join(inv.Get.Dir, treeFile), text, 0o644); err != nil {
		return err
	}
	return inv.writeBase(ctx, inv.Get.Dir)
}

// treeFile is the name of the file that get writes.
const treeFile = "tree.yaml"

// explain shows the effective values of a node, or the decisions on a request. An
// argument with four dots and no slash is the ID of a request.
func (inv *invocation) explain(ctx context.Context) error {
	if len(inv.Explain.Logs) > 0 {
		return inv.explainFromLogs(inv.Explain.Path)
	}
	node := strings.Trim(inv.Explain.Path, "/")
	if strings.Count(node, ".") == 4 && !strings.Contains(node, "/") {
		return inv.explainRequest(ctx, node)
	}
	var d settings.Declaration
	sources := map[string]settings.Source{}
	if inv.Explain.Dir != "" {
		p, err := loadDir(inv.Explain.Dir)
		if err != nil {
			return err
		}
		d, sources = p.Declaration, p.Sources
	} else {
		var err error
		if _, d, err = inv.store().Load(ctx); err != nil {
			return err
		}
	}
	list, ok := settings.Explain(d, node)
	if !ok {
		return fmt.Errorf("node %q does not exist; name one like workspaces/NAME/services/NAME, or \"\" for the fleet", node)
	}
	if inv.JSON {
		return inv.printJSON(list)
	}
	w := tabwriter.NewWriter(inv.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tVALUE\tFROM")
	for _, x := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\n", x.Key, x.Value, formatOrigin(x, sources))
	}
	return w.Flush()
}

// formatOrigin returns where a value is set: the node, with file and line if they are known.
func formatOrigin(x settings.Explanation, sources map[string]settings.Source) string {
	node := x.From
	if node == "fleet" {
		node = ""
	}
	if s, ok := sources[settings.Entry{Node: node, Key: x.Key}.Path()]; ok {
		return fmt.Sprintf("%s (%s:%d)", x.From, s.File, s.Line)
	}
	return x.From
}
