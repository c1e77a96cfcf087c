// Package testseed is for tests. It gives the drawn tests of every package that imports it one seed, so that a run is the
// same as the last: a verdict never changes without a change of the code. On the command line -rapid.seed still draws
// others.
package testseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // has the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true", "rapid.checks": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("testseed: %v", err))
		}
	}
}
