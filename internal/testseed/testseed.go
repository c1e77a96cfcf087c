// Package testseed fixes the seed of the property-based tests in every package whose tests import it, so that each run
// draws the same values and a result changes only with the code. The flag -rapid.seed on the command line overrides
// the seed.
package testseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // defines the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true", "rapid.checks": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(fmt.Sprintf("testseed: %v", err))
		}
	}
}
