package hollowgrade

// Outcome says how a request ended. Its text is part of the interface to
// callers.
type Outcome string

// The four ways in which a request can end.
const (
	// Finished means that the whole answer was produced.
	Finished Outcome = "finished"
	// Failed means that the request ran, or began to, and will not finish.
	Failed Outcome = "failed"
	// NotRun means that no upstream has run or will run any part of the
	// request. It is said only when the request never left the entry or when
	// an agent has confirmed that it will not start it.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run, and that nobody left can
	// tell.
	Unknown Outcome = "unknown"
)

// Combine returns the outcome to report when two attempts at the same request
// ended as o and p. An attempt that may have run outweighs one that did not.
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
