package daemon

import (
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// Stop starts the director's orderly shutdown, which package shutdown controls; Done signals its end.
func (d *Daemon) Stop() {
	d.stopRequestedAt.CompareAndSwap(0, max(1, int64(d.now())))
	d.inbox.put(item{input: director.Stop{}})
}

// Done is closed once the director has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Kill ends the director at once, as a crash would: pending requests get no answer.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() { close(d.quit) })
	<-d.done
}

// closeAll closes every connection at once, without sending queued data.
func (d *Daemon) closeAll() {
	d.server.Close()
	for _, c := range d.links {
		c.Reset()
	}
	for _, c := range d.discovery {
		c.Abort()
	}
}

// drainTime returns how long the queued data of client connections may take to go out at the end: twice the write time-out,
// but not longer than until the process has to exit.
func (d *Daemon) drainTime() time.Duration {
	limit := 2 * d.config.ConnectionLimits.Clients.WriteTimeout
	if exit := d.config.ShutdownPolicy.ExitTime; exit > 0 {
		limit = min(limit, time.Duration(d.stopRequestedAt.Load())+exit-d.now())
	}
	return limit
}

// drainConnections closes the connections to clients and nodes gracefully, waits up to drainTime for queued data to go
// out, and then closes every connection that remains.
func (d *Daemon) drainConnections() {
	d.server.SetRefusing(true)
	d.server.Each(func(c *transport.Conn) { c.Close(closeGoingAway, "director closes") }) // a message received in part is not a request
	for _, c := range d.links {
		c.Close(closeGoingAway, "director closes")
	}
	for deadline := time.Now().Add(d.drainTime()); time.Now().Before(deadline); {
		open := 0
		d.server.Each(func(*transport.Conn) { open++ })
		for _, c := range d.links {
			if c.Queued() {
				open++
			}
		}
		if open == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	d.killOnce.Do(func() { close(d.quit) })
	d.closeAll()
	d.log.Info().Msg("shutdown complete")
}
