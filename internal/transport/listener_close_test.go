package transport

import (
	"os"
	"sync"
	"sync/atomic"
	"testing"
)

// Closing a listener closes its descriptor once. A second close would hit a file that was opened in between and got
// the same number.
func TestListenerCloseSparesOtherDescriptors(t *testing.T) {
	const listeners = 3000
	var stop atomic.Bool
	var lost atomic.Int64
	var openers sync.WaitGroup
	for range 4 {
		openers.Go(func() {
			for !stop.Load() {
				f, err := os.Open(os.DevNull)
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := f.Stat(); err != nil {
					lost.Add(1)
				}
				if err := f.Close(); err != nil {
					lost.Add(1)
				}
			}
		})
	}
	for range listeners {
		ln, err := listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
	}
	stop.Store(true)
	openers.Wait()
	if n := lost.Load(); n != 0 {
		t.Errorf("%d descriptors of other files were closed with %d listeners", n, listeners)
	}
}
