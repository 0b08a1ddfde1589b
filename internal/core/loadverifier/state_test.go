package loadverifier_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/loadverifier"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// An engine must not make tokens with a layer that it took while a chunk had been corrupt for longer than the users tolerate,
// however late calls are carried out, and has to serve once the disturbances end.
func TestStateLoadsAreVerified(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		s := drawSimulation(rt, sizes)
		s.mayTakeBad = true
		s.timing = s.disturbed
		s.reportLag = func() time.Duration { return s.draw("report lag", 0, 500) }
		for range rapid.IntRange(20, 400).Draw(rt, "steps") {
			switch n := rapid.IntRange(0, 199).Draw(rt, "action"); {
			case n < 2:
				s.restartEngine()
			case n < 4:
				s.restartAgent(rapid.Bool().Draw(rt, "knows the gate"))
			case n < 6:
				s.release++
				s.begin()
			case n < 16:
				s.advance(s.now + s.draw("suspension", 0, 6000))
			case n < 26:
				s.corrupt()
			default:
				s.stepAndWiden()
			}
		}
		s.settle(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}).Draw(rt, "call"))
	})
}

// While every call is answered within half a second, an engine must not take a chunk that has been corrupt for too long even
// with the gate closed.
func TestStateAnsweredCallsTakeNoCorruptChunk(t *testing.T) {
	checkAnsweredCalls(t, sizes)
}

// A layer of so many chunks that not all of them can be read back within the users' tolerance must be loaded in the end.
func TestStateLayersOfManyChunksAreServed(t *testing.T) {
	checkAnsweredCalls(t, [][2]int{{2, 64}})
}

func checkAnsweredCalls(t *testing.T, sizes [][2]int) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		s := drawSimulation(rt, sizes)
		s.timing = func() timing {
			d := s.draw("call", 1, []int{2, 30, 500}[rapid.IntRange(0, 2).Draw(rt, "pace")])
			return timing{effect: d * time.Duration(rapid.IntRange(0, 4).Draw(rt, "effect")) / 4, end: d}
		}
		for range rapid.IntRange(20, 400).Draw(rt, "steps") {
			switch n := rapid.IntRange(0, 99).Draw(rt, "action"); {
			case n < 1:
				s.release++
				s.begin()
			case n < 2:
				s.restartEngine()
			case n < 8:
				s.corrupt()
			default:
				s.stepAndWiden()
			}
		}
		s.settle(500 * time.Millisecond)
	})
}

// sizes are numbers of layers and of chunks.
var sizes = [][2]int{{2, 3}, {3, 10}, {5, 5}, {16, 64}}

func drawSimulation(rt *rapid.T, sizes [][2]int) *simulation {
	size := rapid.SampledFrom(sizes).Draw(rt, "layers and chunks")
	s := newSimulation(rt, size[0], size[1])
	if rapid.Bool().Draw(rt, "early ranges") {
		s.ranges = append(rolloutplanner.EarlyLayerRanges(size[0]), fleetconfig.LayerRange{})
		s.begin()
	}
	return s
}

func (s *simulation) draw(what string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(s.rt, what)) * time.Millisecond
}

// disturbed draws the times of a call that may be slow, refused, lost, carried out late, or answered to a caller that is suspended.
func (s *simulation) disturbed() timing {
	switch n := rapid.IntRange(0, 99).Draw(s.rt, "kind of call"); {
	case n < 70:
		return timing{effect: time.Millisecond, end: 2 * time.Millisecond}
	case n < 80:
		d := s.draw("slow call", 100, 1900)
		return timing{effect: min(d, s.draw("effect", 0, 1900)), end: d}
	case n < 84:
		d := s.draw("call and suspension", 2000, 6000)
		return timing{effect: min(d, s.draw("effect", 0, 6000)), end: d}
	case n < 88:
		return timing{end: time.Millisecond, result: loadverifier.Refused}
	case n < 92:
		return timing{end: callTimeout, result: loadverifier.Open, isLost: true}
	}
	return timing{effect: s.draw("late effect", 0, 12000), end: callTimeout, result: loadverifier.Open}
}

// corrupt has one or half of the chunks become corrupt within the next seconds.
func (s *simulation) corrupt() {
	at := s.now + s.draw("time to corruption", 0, 3000)
	first, count := rapid.IntRange(0, s.chunks-1).Draw(s.rt, "chunk"), 1
	if rapid.Bool().Draw(s.rt, "many") {
		count = s.chunks / 2
	}
	s.at(at, false, func() {
		for i := range count {
			s.put((first+i)%s.chunks, 0)
		}
	})
}

// stepAndWiden makes a step. The next range is wanted once the engine holds one.
func (s *simulation) stepAndWiden() {
	if s.step().Kind == loadverifier.StepDone && len(s.ranges) > 1 && s.v.Proven() {
		s.ranges = s.ranges[1:]
		s.begin()
	}
}

// settle ends the disturbances, and fails unless the engine serves the newest release after a few commands.
func (s *simulation) settle(call time.Duration) {
	s.advance(s.now + 15*time.Second)
	s.fixed(call)
	s.reportLag = func() time.Duration { return 0 }
	s.commands = 0
	end := s.now + 3*time.Minute
	for !s.serves() || len(s.ranges) > 1 {
		if s.now > end {
			s.fail("the engine does not serve %v after the end of the disturbances; %d commands", end-s.now, s.commands)
		}
		s.stepAndWiden()
	}
	// Suspect layers take two commands more, early ranges two, and at half a second a call at most six layers of four chunks are read in time.
	if limit := 8; s.commands > limit {
		s.fail("%d commands after the end of the disturbances, at most %d are needed", s.commands, limit)
	}
}
