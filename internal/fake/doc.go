// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

// Package fake has fakes of the systems outside heathkeel: the platform's
// key-value service, host list and weight store, model engines and plain
// services. Each can inject faults, which a Faults struct selects. The contract
// tests of this package check what each interface guarantees.
package fake
