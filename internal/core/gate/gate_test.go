package gate

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestRefusesRequestForAnotherWeightSet checks that a request is not admitted while the endpoint serves another weight
// set than the request requires.
func TestRefusesRequestForAnotherWeightSet(t *testing.T) {
	is := is.New(t)
	var g Gate
	g.Open("a")
	is.NoErr(g.Enter("a"))
	var refused *Error
	is.True(errors.As(g.Enter("b"), &refused))
	is.Equal(refused.Reason, OtherWeightSet)
	is.Equal(refused.Served, g.Status().Set)
	is.Equal(g.Status().InFlight, 1)
	g.Exit()
	g.Open("b")
	is.True(errors.As(g.Enter("a"), &refused))
	is.NoErr(g.Enter("b"))
}

func TestClosedAndLeavingGatesRefuseRequests(t *testing.T) {
	is := is.New(t)
	var g Gate
	var refused *Error
	is.True(errors.As(g.Enter("a"), &refused))
	is.Equal(refused.Reason, Closed)
	g.Open("a")
	is.NoErr(g.Enter("a"))
	idle := g.Close()
	is.True(errors.As(g.Enter("a"), &refused))
	select {
	case <-idle:
		t.Fatal("the idle channel is closed with a request in flight")
	default:
	}
	g.Exit()
	<-idle
	g.Drain()
	is.True(errors.As(g.Enter("a"), &refused))
	is.Equal(refused.Reason, Leaving)
}
