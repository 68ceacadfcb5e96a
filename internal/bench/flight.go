package bench

import (
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// A flight is one attempt to serve a completion on two replicas.
type flight struct {
	decoding   *decoding
	decode     *replica
	done       func()               // at the router, after the last token
	ended      bool                 // the attempt is over
	from       persimmoncart.Region // of the router
	job        *job
	missing    func()                         // at the router, when the KV cache was evicted
	paced      func(*decoding, time.Duration) // at the engine, with the time between tokens
	prefilled  func()                         // at the router, before the decode starts
	prefilling *prefilling
	prefill    *replica
	world      *world
}

// start sends the prefill.
func (f *flight) start() {
	f.prefilling = &prefilling{job: f.job, done: func(*prefilling) {
		f.world.network.send(f.prefill.endpoint.Region, f.from, func() {
			if !f.ended {
				f.prefilled()
			}
		})
	}}
	f.world.network.send(f.from, f.prefill.endpoint.Region, func() {
		if !f.ended {
			f.prefill.prefill(f.prefilling)
		}
	})
}

// startDecode sends the decode. blocks is the memory to hold.
func (f *flight) startDecode(blocks int) {
	f.decoding = &decoding{
		blocks: blocks, job: f.job, prefill: f.prefilling,
		done:   func(*decoding) { f.reply(f.finish) },
		failed: func(*decoding) { f.reply(f.missing) },
	}
	if f.paced != nil {
		f.decoding.pace = f.paced
	}
	f.world.network.send(f.from, f.decode.endpoint.Region, func() {
		if !f.ended {
			f.decode.decode(f.decoding)
		}
	})
}

// finish records the answer at the caller.
func (f *flight) finish() {
	f.ended = true
	d, _ := f.world.network.delay(f.from, f.decode.endpoint.Region)
	if f.job.first.IsZero() {
		f.job.first = f.decoding.first.Add(d + delayLocal)
	}
	f.world.answer(f.job, f.decoding.last.Add(d))
	f.done()
}

// reply runs g at the router unless the flight is over or the network is cut.
func (f *flight) reply(g func()) {
	f.world.network.send(f.decode.endpoint.Region, f.from, func() {
		if !f.ended {
			g()
		}
	})
}

// cancel ends the attempt and frees the engines' memory.
func (f *flight) cancel() {
	if f.ended {
		return
	}
	f.ended = true
	if f.prefilling != nil && f.prefilling.replica != nil && f.prefilling.ended.IsZero() {
		f.prefill.cancelPrefill(f.prefilling)
	}
	if f.decoding != nil && f.decoding.replica != nil {
		f.decode.cancelDecode(f.decoding)
	}
}
