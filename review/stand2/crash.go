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
const runnerMemory = 128

// crashOfRunner is the case of a plain crash: a runner that holds shared memory is killed while it writes answers without a length.
// Two of eight engines and one of four plain runners are.
func crashOfRunner(f *fleet) (bool, error) {
	f.configure()
	if err := os.Setenv(memoryVariable, fmt.Sprint(runnerMemory)); err != nil {
		return false, err
	}
	if err := f.startAll(8, 4, 3); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // past ContactMs
	var mu sync.Mutex
	var answers []*answer
	var all sync.WaitGroup
	send := func(n int, paths ...string) {
		for i := range n {
			all.Add(1)
			go func() {
				defer all.Done()
				a := f.request(f.hosts[i%len(f.hosts)], "POST", paths[i/len(f.hosts)%len(paths)])
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}()
		}
	}
	send(36, "/draft/?unframed&events=60&pace=100", "/review/?unframed&events=60&pace=100")
	time.Sleep(2 * time.Second)
	send(18, "/push/?unframed&parts=40&pace=10", "/ask/?unframed&parts=40&pace=10")
	time.Sleep(200 * time.Millisecond)
	if f.trouble {
		for _, r := range f.runners {
			if r.id == "i-e1" || r.id == "i-e2" || r.id == "i-p1" {
				f.note("runner %s is killed", r.id)
				r.signal(syscall.SIGKILL)
			}
		}
	}
	all.Wait()
	return f.judgeWhole(answers), nil
}
