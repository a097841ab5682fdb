package hollowgrade

// Outcome is how a request ended. Its text is part of the interface to callers.
type Outcome string

// The outcomes of a request.
const (
	// Finished means that the complete answer was produced.
	Finished Outcome = "finished"
	// Failed means that the request started to run and will not finish.
	Failed Outcome = "failed"
	// NotRun means that no upstream has run or will run any part of the request. It is reported only
	// if the request never left the entry, or if an agent has confirmed that it will not start it.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run, and that this can't be determined any more.
	Unknown Outcome = "unknown"
)

// Combine returns the outcome to report for a request whose attempts ended as o and p. An attempt that
// may have run takes precedence over one that did not.
func (o Outcome) Combine(p Outcome) Outcome {
	if rank(p) > rank(o) {
		return p
	}
	return o
}

func rank(o Outcome) int {
	switch o {
	case Finished:
		return 3
	case Unknown:
		return 2
	case Failed:
		return 1
	default:
		return 0
	}
}
