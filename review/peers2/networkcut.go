package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// The figures of the case with the network cut.
const (
	cutFor       = 5 * time.Second
	endAfterCut  = 300 * time.Millisecond
	releaseLimit = 8 * time.Second // from the end of a session until the director has released it towards its viewer
)

// A network leads viewers' connections to a director, and can be cut: then no byte passes, and nothing else is seen at
// either end.
type network struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	paths []*path
}

// A path is a connection of viewers to the director.
type path struct {
	viewer, director net.Conn
	uncut            chan struct{} // closed unless the path is cut
}

func (r *run) newNetwork(to string) (*network, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &network{listener: l, to: to}
	r.onEnd(func() { l.Close() })
	go n.serve()
	return n, nil
}

func (n *network) address() string { return n.listener.Addr().String() }

func (n *network) serve() {
	for {
		viewer, err := n.listener.Accept()
		if err != nil {
			return
		}
		director, err := net.DialTimeout("tcp", n.to, time.Second)
		if err != nil {
			viewer.Close()
			continue
		}
		p := &path{viewer: viewer, director: director, uncut: make(chan struct{})}
		close(p.uncut)
		n.mu.Lock()
		n.paths = append(n.paths, p)
		n.mu.Unlock()
		go n.copy(p, director, viewer)
		go n.copy(p, viewer, director)
	}
}

// copy passes on what arrives at one end of a path, unless the path is cut.
func (n *network) copy(p *path, to, from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		count, err := from.Read(buffer)
		n.mu.Lock()
		uncut := p.uncut
		n.mu.Unlock()
		<-uncut
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

// cut cuts all paths that there are.
func (n *network) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.paths {
		p.uncut = make(chan struct{})
	}
}

// mend ends the cut. The viewers have given up the connections that it concerned meanwhile, so what the director sent on
// them is answered with a reset.
func (n *network) mend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.paths {
		p.director.(*net.TCPConn).SetLinger(0)
		p.director.Close()
		p.viewer.Close()
		close(p.uncut)
	}
	n.paths = nil
}

// playNetworkCut cuts the viewers' connection off while sessions come to their end. The ends have to be told on another
// connection.
func playNetworkCut(r *run) error {
	d, err := r.newDiscovery()
	if err != nil {
		return err
	}
	nodes, err := r.newMediaNodes(cells)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	if err := r.startDirector(newConfiguration(listen, d.address(), nodes)); err != nil {
		return err
	}
	r.tellNotes(nodes)
	between, err := r.newNetwork(listen)
	if err != nil {
		return err
	}
	v, err := r.newViewer(between.address())
	if err != nil {
		return err
	}
	var requests []*request
	for i := range 8 {
		q, err := v.send("prog-intro", i%cells, 4*time.Second)
		if err != nil {
			return err
		}
		requests = append(requests, q)
		time.Sleep(300 * time.Millisecond)
	}
	if err := v.waitAnswered(5*time.Second, requests...); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if r.trouble {
		between.cut()
		r.record.line("the network between the viewers and the director is cut")
	}
	cutAt := time.Now()
	time.Sleep(endAfterCut)
	ended := map[string]time.Time{}
	for _, n := range nodes[:cells/2] {
		for _, s := range n.standing() {
			n.finish(s)
			ended[s] = time.Now()
		}
	}
	if len(ended) == 0 {
		return fmt.Errorf("nothing stands at the media nodes whose sessions are to end")
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if r.trouble {
		between.mend()
		r.record.line("the network is mended; the viewers open another connection")
	}
	next, err := r.newViewer(between.address())
	if err != nil {
		return err
	}
	next.follow(v)
	for i := range 12 { // the viewers go on
		if _, err := next.send("prog-intro", i%cells, 4*time.Second); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Until(cutAt.Add(endAfterCut + releaseLimit + 2*time.Second)))
	for _, q := range requests {
		s := v.state(q)
		at, over := ended[fmt.Sprintf("%016x", s.id)]
		switch {
		case !s.served || !over:
		case s.releasedAt.IsZero():
			r.violation("session %016x came to its end at its media node, and was not released towards its viewer within %.2f s", s.id,
				time.Since(at).Seconds())
		case s.releasedAt.After(at.Add(releaseLimit + limitSlack)):
			r.violation("session %016x was released towards its viewer %.2f s after its end", s.id, s.releasedAt.Sub(at).Seconds())
		}
	}
	return nil
}
