// Command update regenerates the tables of measurements in docs/CAPACITY.md from the points that script/capacity wrote.
package main

import (
	"fmt"
	"os"
	"regexp"

	"github.com/nutmegdock/nutmegdock/internal/capacity"
)

const (
	pointsPath = "docs/capacity/points.jsonl"
	pagePath   = "docs/CAPACITY.md"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "update: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	f, err := os.Open(pointsPath)
	if err != nil {
		return err
	}
	defer f.Close()
	points, err := capacity.ReadPoints(f)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	for name, table := range map[string]func([]capacity.Point) (string, error){
		"daemons": capacity.DaemonTable, "streams": capacity.StreamTable,
	} {
		text, err := table(points)
		if err != nil {
			return err
		}
		if page, err = replaceTable(page, name, text); err != nil {
			return err
		}
	}
	return os.WriteFile(pagePath, page, 0o600)
}

// replaceTable replaces the text between the page's begin and end markers of the given name.
func replaceTable(page []byte, name, text string) ([]byte, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	re := regexp.MustCompile("(?s)" + regexp.QuoteMeta(begin) + ".*?" + regexp.QuoteMeta(end))
	if !re.Match(page) {
		return nil, fmt.Errorf("%s has no begin and end markers for table %s", pagePath, name)
	}
	return re.ReplaceAllLiteral(page, []byte(begin+text+end)), nil
}
