// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// runnerMemory is the shared memory of each runner of crashOfRunner, in megabytes.
const runnerMemory = 256

// crashOfRunner is the case of a plain crash: a runner that holds shared memory is killed while it writes answers without a length.
func crashOfRunner(f *fleet) (bool, error) {
	f.configure()
	if err := os.Setenv(memoryVariable, fmt.Sprint(runnerMemory)); err != nil {
		return false, err
	}
	if err := f.startAll(3); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // past ContactMs
	var mu sync.Mutex
	var answers []*answer
	var all sync.WaitGroup
	for i, path := range []string{"/push/?unframed&parts=60&pace=100", "/ask/?unframed&parts=60&pace=100", "/draft/?unframed&events=60&pace=100", "/review/?unframed&events=60&pace=100"} {
		for k := range 3 {
			all.Add(1)
			go func() {
				defer all.Done()
				a := f.request(f.hosts[(i+k)%len(f.hosts)], "POST", path)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
	}
	time.Sleep(2 * time.Second)
	if f.trouble {
		for _, r := range f.runners {
			if r.id == "i-e1" || r.id == "i-p1" {
				f.note("runner %s is killed", r.id)
				r.signal(syscall.SIGKILL)
			}
		}
	}
	all.Wait()
	return f.judgeWhole(answers), nil
}
