package main

import (
	"os"
	"os/exec"
	"testing"
)

// scriptsVariable is the environment variable that has these tests run the scripts of the cases. They need the build of
// the deploy file and review/build-2.sh, and are no part of the default run.
const scriptsVariable = "REVIEW_2_SCRIPTS"

// runScript runs the script of a case, which fails if the rule is broken or the case can't run.
func runScript(t *testing.T, number string) {
	t.Helper()
	if os.Getenv(scriptsVariable) == "" {
		t.Skipf("%s is not set", scriptsVariable)
	}
	out, err := exec.Command("/bin/sh", "../"+number+"/run.sh").CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Fatalf("review/%s/run.sh: %v", number, err)
	}
}

func TestSecondReviewSmallMemory(t *testing.T) { runScript(t, "6") }

func TestSecondReviewSlowDiscovery(t *testing.T) { runScript(t, "7") }

func TestSecondReviewSlowWriter(t *testing.T) { runScript(t, "8") }

func TestSecondReviewNetworkCut(t *testing.T) { runScript(t, "9") }

func TestSecondReviewAddressReuse(t *testing.T) { runScript(t, "10") }
