package explain

import (
	"fmt"
	"os"
	"strconv"

	"github.com/nutmegdock/nutmegdock/internal/explainer"
)

// Step is one log line about a request.
type Step struct {
	Time   string `json:"time"`
	Host   string `json:"host"`
	Event  int    `json:"event"`
	Text   string `json:"text"`
	Detail string `json:"detail"`
}

func explainLogsRun(opts *Options) error {
	requestExplainer := &explainer.Explainer{AttemptID: opts.Name}
	for _, name := range opts.Logs {
		if err := readLogFile(requestExplainer, name); err != nil {
			return err
		}
	}
	lines, err := requestExplainer.Timeline()
	if err != nil {
		return fmt.Errorf("explain %s: %w", opts.Name, err)
	}
	steps := make([]Step, len(lines))
	rows := make([][]string, len(lines))
	for i, line := range lines {
		step := Step{Time: line.Time.Format("15:04:05.000"), Host: line.Host, Event: line.Event, Text: line.Text, Detail: line.FieldList()}
		steps[i] = step
		rows[i] = []string{step.Time, step.Host, strconv.Itoa(step.Event), step.Text, step.Detail}
	}
	return opts.Print(steps, []string{"TIME", "HOST", "EVENT", "TEXT", "DETAIL"}, rows)
}

func readLogFile(e *explainer.Explainer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	lineCount, err := e.Read(f)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if lineCount == 0 {
		return fmt.Errorf("%s contains no log lines of nutmegdock", name)
	}
	return nil
}
