package explain

import (
	"fmt"
	"os"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/explainer"
)

// Step is one line of a request's story.
type Step struct {
	Time   string `json:"time"`
	Host   string `json:"host"`
	Event  int    `json:"event"`
	Text   string `json:"text"`
	Detail string `json:"detail"`
}

func logsRun(opts *Options) error {
	e := &explainer.Explainer{AttemptID: opts.Name}
	for _, name := range opts.Logs {
		if err := readFile(e, name); err != nil {
			return err
		}
	}
	lines, err := e.Timeline()
	if err != nil {
		return fmt.Errorf("explain %s: %w", opts.Name, err)
	}
	steps := make([]Step, len(lines))
	rows := make([][]string, len(lines))
	for i, l := range lines {
		s := Step{Time: l.Time.Format("15:04:05.000"), Host: l.Host, Event: l.Event, Text: l.Text, Detail: l.FieldList()}
		steps[i] = s
		rows[i] = []string{s.Time, s.Host, strconv.Itoa(s.Event), s.Text, s.Detail}
	}
	return opts.Print(steps, []string{"TIME", "HOST", "EVENT", "TEXT", "DETAIL"}, rows)
}

func readFile(e *explainer.Explainer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	n, err := e.Read(f)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if n == 0 {
		return fmt.Errorf("%s holds no log lines of nutmegdock", name)
	}
	return nil
}
