package transport

import (
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// A watcher is told when something can be read from a descriptor, or when its peer has ended it. Its method runs on the
// poller's goroutine: it must not block, and is called again for as long as the condition holds.
type watcher interface {
	ready(events uint32)
}

// A poller watches descriptors with one epoll instance and one goroutine. Every registration has a token of its own, so
// that an event that was on its way when a descriptor was closed meets no other file with the same number.
type poller struct {
	epoll     int
	mu        sync.Mutex
	watchers  map[uint64]watcher
	lastToken uint64
}

// The events that are watched, besides errors and hang-ups, which epoll always reports. Without inputEvents only the
// end of the peer's side is noticed: its data waits in the kernel.
const (
	endEvents   = unix.EPOLLRDHUP
	inputEvents = unix.EPOLLIN | endEvents
	goneEvents  = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

// maxPolledEvents is how many events one call of epoll_wait returns. pollRetryDelay is the delay after a failed one.
const (
	maxPolledEvents = 128
	pollRetryDelay  = time.Millisecond
)

var defaultPoller = sync.OnceValues(newPoller)

func newPoller() (*poller, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	p := &poller{epoll: epoll, watchers: map[uint64]watcher{}}
	go p.run()
	return p, nil
}

// add watches a descriptor for input and returns the registration's token.
func (p *poller) add(descriptor int, w watcher) (token uint64, err error) {
	p.mu.Lock()
	p.lastToken++
	token = p.lastToken
	p.watchers[token] = w // the first event may come before the call returns
	p.mu.Unlock()
	if err := unix.EpollCtl(p.epoll, unix.EPOLL_CTL_ADD, descriptor, event(token, inputEvents)); err != nil {
		p.forget(token)
		return 0, err
	}
	return token, nil
}

// set changes the events for which a descriptor is watched.
func (p *poller) set(descriptor int, token uint64, events uint32) error {
	return unix.EpollCtl(p.epoll, unix.EPOLL_CTL_MOD, descriptor, event(token, events))
}

// remove ends the watching of a descriptor, which must still be open. Its watcher may be called once more.
func (p *poller) remove(descriptor int, token uint64) {
	p.forget(token)
	_ = unix.EpollCtl(p.epoll, unix.EPOLL_CTL_DEL, descriptor, nil)
}

func (p *poller) forget(token uint64) {
	p.mu.Lock()
	delete(p.watchers, token)
	p.mu.Unlock()
}

// event is the epoll event of a registration: the token takes the place of a descriptor.
func event(token uint64, events uint32) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(uint32(token)), Pad: int32(uint32(token >> 32))}
}

func tokenOf(e *unix.EpollEvent) uint64 { return uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32 }

// run passes events to their watchers for as long as the program runs.
func (p *poller) run() {
	events := make([]unix.EpollEvent, maxPolledEvents)
	for {
		n, err := unix.EpollWait(p.epoll, events, -1)
		if err != nil && err != unix.EINTR {
			internalErrors.Add(1)
			time.Sleep(pollRetryDelay)
		}
		for i := range max(0, n) {
			p.mu.Lock()
			w := p.watchers[tokenOf(&events[i])]
			p.mu.Unlock()
			if w != nil {
				w.ready(events[i].Events)
			}
		}
		runtime.Gosched() // the goroutines that handle the input run before this one waits in the kernel
	}
}
