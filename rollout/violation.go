package rollout

import "fmt"

// Violation is what is wrong with a plan.
type Violation int

// The violations.
const (
	StepTooEarly       Violation = iota // a step comes before every director has received the one before
	InvalidChange                       // a change does not fit the state of its node
	IdentityTaken                       // a node is added with the identity of another
	AddedTooSoon                        // a node is added before every director has received its removal
	AddedAfterDrains                    // a new node is added after drains have started
	RemovedTooSoon                      // a node is removed before its sessions have had their time to end
	TooManyWarming                      // more nodes are warming up than may be
	TooManyInRack                       // more nodes of a rack are in transition than may be
	TooManyOfTitle                      // more holders of a title are in transition than may be
	TitleWithoutHolder                  // a title has lost its last holder that is up
	TargetMissed                        // the nodes at the end differ from the target
)

var violationNames = [...]string{
	StepTooEarly:       "step too early",
	InvalidChange:      "invalid change",
	IdentityTaken:      "identity taken",
	AddedTooSoon:       "added too soon",
	AddedAfterDrains:   "added after drains",
	RemovedTooSoon:     "removed too soon",
	TooManyWarming:     "too many warming",
	TooManyInRack:      "too many in a rack",
	TooManyOfTitle:     "too many of a title",
	TitleWithoutHolder: "title without a holder",
	TargetMissed:       "target missed",
}

func (v Violation) String() string { return violationNames[v] }

// ViolationError is the error of Check.
type ViolationError struct {
	Violation Violation
	text      string
}

func (e *ViolationError) Error() string { return e.text }

func violation(v Violation, format string, args ...any) error {
	return &ViolationError{v, fmt.Sprintf(format, args...)}
}
