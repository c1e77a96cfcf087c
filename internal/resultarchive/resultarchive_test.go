package resultarchive

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// Guards against saved results that are read back changed, a truncated file that is read without an error, and a full
// disk that Save does not report.
func TestSaveAndLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x")
	rows := []int{1, 2, 3}
	if err := Save(file, "head", rows); err != nil {
		t.Fatal(err)
	}
	if head, got, err := Load[string, int](file); err != nil || head != "head" || !slices.Equal(got, rows) {
		t.Fatal(head, got, err)
	}
	if err := os.Truncate(file, 12); err != nil {
		t.Fatal(err)
	}
	if _, got, err := Load[string, int](file); err == nil || got != nil || !strings.Contains(err.Error(), file) {
		t.Fatal(got, err)
	}
	if _, err := os.Stat("/dev/full"); err == nil {
		if err := Save("/dev/full", "head", rows); !errors.Is(err, syscall.ENOSPC) {
			t.Fatal(err)
		}
	}
}
