// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import "sync"

// Fault is a fault of an endpoint with one request.
type Fault string

// Faults of an endpoint.
const (
	// None answers as usual.
	None Fault = ""
	// Full answers 503 and states that the request was not executed.
	Full Fault = "full"
	// Error answers 500.
	Error Fault = "error"
	// FullAgain, MisdirectedAgain and ErrorAgain answer 503 like Full, 421, and 500 like Error, and send the same answer once more in front
	// of the answer to the next request on the connection.
	FullAgain        Fault = "full again"
	MisdirectedAgain Fault = "misdirected again"
	ErrorAgain       Fault = "error again"
	// Reset runs the request and resets the connection without an answer.
	Reset Fault = "reset"
	// Hang runs the request and never answers.
	Hang Fault = "hang"
	// Truncated closes the connection in the middle of the answer.
	Truncated Fault = "torn"
	// TruncatedEvent closes the connection in the middle of a stream's third event.
	TruncatedEvent Fault = "torn event"
	// TruncatedStatus, TruncatedField and TruncatedHead close the connection in the head of the answer: in the status line, in the value of
	// the last field, and before the empty line.
	TruncatedStatus Fault = "torn status"
	TruncatedField  Fault = "torn field"
	TruncatedHead   Fault = "torn head"
	// InvalidAnswer sends bytes that are not HTTP.
	InvalidAnswer Fault = "no answer"
	// ZeroStatus answers with the status 000, and ZeroStatusFirst sends a head with that status, and no body, in front of its answer.
	ZeroStatus      Fault = "status 000"
	ZeroStatusFirst Fault = "status 000 first"
	// BlankName, BlankLength and BlankEncoding answer with a blank in the name of a field, and behind the name of the one that frames the
	// body, and close the connection.
	BlankName     Fault = "blank in a name"
	BlankLength   Fault = "blank behind a length"
	BlankEncoding Fault = "blank behind an encoding"
	// NoStamp answers without the response stamp.
	NoStamp Fault = "no stamp"
	// ExtraAnswer sends the answer twice.
	ExtraAnswer Fault = "surplus"
	// WrongAnswer sends the answer to another request before its own.
	WrongAnswer Fault = "foreign"
	// Unframed answers without a length and ends the answer by closing the connection.
	Unframed Fault = "unframed"
	// UnframedReset answers without a length and resets the connection in the middle of the answer.
	UnframedReset Fault = "unframed reset"
	// EarlyReset, EarlyClose, EarlyLate, EarlyLarge and EarlyTorn answer without a length before the request's body was read, and do not
	// complete the answer: the connection is reset, closed with bytes unread, reset once some of the body was read, reset behind a part that
	// is too large to be held back, and reset within an event. See answerEarly.
	EarlyReset Fault = "early reset"
	EarlyClose Fault = "early close"
	EarlyLate  Fault = "early late"
	EarlyLarge Fault = "early large"
	EarlyTorn  Fault = "early torn"
	// EarlyFramed, EarlyEnd and EarlyFinish answer as early, and completely: with a length and then a reset, without one and with an end once
	// the body was read, and without one and with an end of the endpoint's side at once. EarlyInterim does as EarlyEnd, behind a 103.
	EarlyFramed  Fault = "early framed"
	EarlyEnd     Fault = "early end"
	EarlyFinish  Fault = "early finish"
	EarlyInterim Fault = "early interim"
	// EarlyScript answers as early, by the endpoint's Script.
	EarlyScript Fault = "early script"
	// HangEvent sends two events of a stream and then nothing more.
	HangEvent Fault = "hang event"
	// SkipEvent omits the third event of a stream.
	SkipEvent Fault = "skip event"
	// DoubleEvent sends the third event of a stream twice.
	DoubleEvent Fault = "double event"
	// Comment sends a comment before a stream's events, and CommentFromZero numbers these from 0.
	Comment         Fault = "comment"
	CommentFromZero Fault = "comment from zero"
	// Closing sends Connection: close and closes the connection after the answer.
	Closing Fault = "closing"
	// Interim sends a 103 response before the answer.
	Interim Fault = "interim"
	// EndlessHeader, EndlessHeaders and EndlessStatus send a header line, header lines and a status
	// line without an end, EndlessInterim 103 responses, EndlessBytes bytes that are not HTTP.
	// EndlessBody sends a complete answer, and then fill in the same body; EndlessUnframed does so
	// without a length or chunks. All stop at maxEndless.
	EndlessHeader   Fault = "endless header"
	EndlessHeaders  Fault = "endless headers"
	EndlessStatus   Fault = "endless status"
	EndlessInterim  Fault = "endless interim"
	EndlessBytes    Fault = "endless bytes"
	EndlessBody     Fault = "endless body"
	EndlessUnframed Fault = "endless unframed"
)

// SetFaults sets the faults of the next requests, in order.
func (e *Endpoint) SetFaults(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// FaultQueue holds faults that several endpoints share; their next requests take them in order.
type FaultQueue struct {
	mu   sync.Mutex
	list []Fault
}

// take removes and returns the next fault, or None.
func (f *FaultQueue) take() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.list) == 0 {
		return None
	}
	n := f.list[0]
	f.list = f.list[1:]
	return n
}

// ShareFaults gives several endpoints a common queue of faults for the next requests at any of
// them.
func ShareFaults(list []Fault, endpoints ...*Endpoint) {
	f := &FaultQueue{list: list}
	for _, e := range endpoints {
		e.mu.Lock()
		e.shared = f
		e.mu.Unlock()
	}
}

// nextFault removes and returns the fault of the next request.
func (e *Endpoint) nextFault() Fault {
	f := e.takeFault()
	switch {
	case f == Full && e.RepeatsAnswers:
		return FullAgain
	case f == Error && e.RepeatsAnswers:
		return ErrorAgain
	}
	return f
}

// takeFault removes and returns the fault of the next request. Shared faults come first.
func (e *Endpoint) takeFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shared != nil {
		if f := e.shared.take(); f != None {
			return f
		}
	}
	if len(e.faults) == 0 {
		return None
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}
