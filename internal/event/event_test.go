package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type entry struct {
	level string
	text  string
}

// declaredEvents returns the events that the package's source declares, by number.
func declaredEvents(t *testing.T) map[int]entry {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[int]entry)
	for _, f := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), f, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			lit, ok := n.(*ast.CompositeLit)
			if !ok || len(lit.Elts) != 3 {
				return true
			}
			number, _ := strconv.Atoi(lit.Elts[0].(*ast.BasicLit).Value)
			text, _ := strconv.Unquote(lit.Elts[2].(*ast.BasicLit).Value)
			level := strings.ToLower(strings.TrimSuffix(lit.Elts[1].(*ast.SelectorExpr).Sel.Name, "Level"))
			if _, isDuplicate := out[number]; isDuplicate {
				t.Errorf("event %d is declared twice", number)
			}
			out[number] = entry{level: level, text: text}
			return true
		})
	}
	return out
}

var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$`)

func TestCatalogueEqualsCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	listed := make(map[int]entry)
	for _, m := range tableRow.FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(m[1])
		is.NoErr(err)
		listed[number] = entry{level: m[2], text: m[3]}
	}
	declared := declaredEvents(t)
	for number, e := range declared {
		if listed[number] != e {
			t.Errorf("event %d: code has %+v, docs/EVENTS.md has %+v", number, e, listed[number])
		}
	}
	for number := range listed {
		if _, ok := declared[number]; !ok {
			t.Errorf("event %d is listed in docs/EVENTS.md but not declared in code", number)
		}
	}
}
