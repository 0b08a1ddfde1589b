// Package event defines the numbered events of the structured logs. docs/EVENTS.md lists them.
package event

import "github.com/apex/log"

// Event is a kind of log line. The meaning of its number never changes.
type Event struct {
	Number int
	Level  log.Level
	Text   string
}

// Log writes the event with its number and fields.
func (e Event) Log(l log.Interface, fields log.Fields) {
	entry := l.WithField("event", e.Number).WithFields(fields)
	switch e.Level {
	case log.ErrorLevel:
		entry.Error(e.Text)
	case log.WarnLevel:
		entry.Warn(e.Text)
	default:
		entry.Info(e.Text)
	}
}
