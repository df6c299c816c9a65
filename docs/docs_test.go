// Package docs_test checks the pages against the code: what they name has to exist.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = ".."

// sourceFile is a parsed Go file that is not a test.
type sourceFile struct {
	folder    string // from the root, with slashes
	syntax    *ast.File
	positions *token.FileSet // of all files
}

// sources parses all Go files of the repository that are not tests, testdata or the frozen reference.
func sources(t *testing.T) []sourceFile {
	t.Helper()
	var files []sourceFile
	set := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		if entry.IsDir() {
			if relative != "." && strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata" || relative == "journal" {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(relative, ".go") || strings.HasSuffix(relative, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		files = append(files, sourceFile{filepath.ToSlash(filepath.Dir(relative)), syntax, set})
		return nil
	})
	if err != nil {
		t.Fatalf("parsing the repository: %v", err)
	}
	return files
}

// page returns a page's text.
func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatalf("reading a page: %v", err)
	}
	return string(text)
}

// rows returns the cells of all table rows of a page under a heading line, without heads and separators.
func rows(t *testing.T, text, heading string) [][]string {
	t.Helper()
	_, text, found := strings.Cut(text, heading)
	if !found {
		t.Fatalf("the page has no %q", heading)
	}
	var table [][]string
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") {
			break
		}
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| ---") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		table = append(table, cells)
	}
	if len(table) < 2 {
		t.Fatalf("no table under %q", heading)
	}
	return table[1:]
}

// sectionRows returns the rows of the tables in all sections of the next level under a heading line.
func sectionRows(t *testing.T, text, heading string) [][]string {
	t.Helper()
	level, _, _ := strings.Cut(heading, " ")
	_, text, found := strings.Cut(text, heading+"\n")
	if !found {
		t.Fatalf("the page has no %q", heading)
	}
	text, _, _ = strings.Cut(text, "\n"+level+" ")
	var table [][]string
	for line := range strings.Lines(text) {
		if title, ok := strings.CutPrefix(line, level+"# "); ok {
			table = append(table, rows(t, text, level+"# "+title)...)
		}
	}
	return table
}

var quoted = regexp.MustCompile("`([^`]+)`")

// names returns what a cell has in backquotes.
func names(cell string) []string {
	var found []string
	for _, match := range quoted.FindAllStringSubmatch(cell, -1) {
		found = append(found, match[1])
	}
	return found
}

// TestArchitectureAgreesWithImports compares the table of packages with the imports of the code.
func TestArchitectureAgreesWithImports(t *testing.T) {
	t.Parallel()
	imports := map[string]map[string]bool{}
	for _, file := range sources(t) {
		if file.folder == "policy/internal/reference" {
			continue
		}
		if imports[file.folder] == nil {
			imports[file.folder] = map[string]bool{}
		}
		for _, spec := range file.syntax.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatalf("an import of %s: %v", file.folder, err)
			}
			if folder, ours := strings.CutPrefix(path, "wingmount/"); ours {
				imports[file.folder][folder] = true
			}
		}
	}
	documented := map[string]bool{}
	for _, row := range rows(t, page(t, "ARCHITECTURE.md"), "## Packages") {
		folder := names(row[0])[0]
		documented[folder] = true
		got, exists := imports[folder]
		if !exists {
			t.Errorf("ARCHITECTURE.md names %s, which has no Go files", folder)
			continue
		}
		var want []string
		for imported := range got {
			want = append(want, imported)
		}
		slices.Sort(want)
		stated := names(row[2])
		slices.Sort(stated)
		if !slices.Equal(stated, want) {
			t.Errorf("%s: ARCHITECTURE.md states imports %q, want %q", folder, stated, want)
		}
	}
	for folder := range imports {
		if !documented[folder] {
			t.Errorf("ARCHITECTURE.md does not name %s", folder)
		}
	}
}

// TestTablesAreSorted checks the order of the tables in which a reader looks up a package or a term.
func TestTablesAreSorted(t *testing.T) {
	t.Parallel()
	for _, table := range []struct{ page, heading string }{
		{"ARCHITECTURE.md", "## Packages"},
		{"GLOSSARY.md", "## Terms of the code"},
	} {
		t.Run(table.page, func(t *testing.T) {
			t.Parallel()
			previous := ""
			for _, row := range rows(t, page(t, table.page), table.heading) {
				key := strings.ToLower(strings.ReplaceAll(row[0], "`", ""))
				if key < previous {
					t.Errorf("got %q after %q, want rows in alphabetical order", key, previous)
				}
				previous = key
			}
		})
	}
}

// TestGlossaryHasTermsOnce checks that one row of the glossary has a term of a package.
func TestGlossaryHasTermsOnce(t *testing.T) {
	t.Parallel()
	type term struct{ name, folder string }
	meanings := map[term]string{}
	for _, row := range rows(t, page(t, "GLOSSARY.md"), "## Terms of the code") {
		terms := names(row[0])
		if len(terms) == 0 {
			terms = []string{row[0]}
		}
		for _, name := range terms {
			key, meaning := term{name, row[1]}, row[3]
			if earlier, double := meanings[key]; double {
				t.Errorf("%s of %s stands twice: %q and %q", name, row[1], earlier, meaning)
			}
			meanings[key] = meaning
		}
	}
}

// declarations returns the names that each folder declares: types, functions, constants, variables, and methods and
// fields as Type.Name and Name.
func declarations(files []sourceFile) map[string]map[string]bool {
	declared := map[string]map[string]bool{}
	for _, file := range files {
		if declared[file.folder] == nil {
			declared[file.folder] = map[string]bool{}
		}
		add := func(name string) { declared[file.folder][name] = true }
		for _, declaration := range file.syntax.Decls {
			switch declaration := declaration.(type) {
			case *ast.FuncDecl:
				add(declaration.Name.Name)
				if declaration.Recv != nil {
					add(receiver(declaration) + "." + declaration.Name.Name)
				}
			case *ast.GenDecl:
				for _, spec := range declaration.Specs {
					addSpec(add, spec)
				}
			}
		}
	}
	return declared
}

func addSpec(add func(string), spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			add(name.Name)
		}
	case *ast.TypeSpec:
		add(spec.Name.Name)
		var members *ast.FieldList
		switch definition := spec.Type.(type) {
		case *ast.StructType:
			members = definition.Fields
		case *ast.InterfaceType:
			members = definition.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				add(name.Name)
				add(spec.Name.Name + "." + name.Name)
			}
		}
	}
}

// receiver returns the name of the type that a method belongs to.
func receiver(method *ast.FuncDecl) string {
	expression := method.Recv.List[0].Type
	for {
		switch typed := expression.(type) {
		case *ast.StarExpr:
			expression = typed.X
		case *ast.IndexExpr:
			expression = typed.X
		case *ast.IndexListExpr:
			expression = typed.X
		case *ast.Ident:
			return typed.Name
		default:
			return ""
		}
	}
}

// TestNamedCodeExists checks the pages whose tables name code with its package: each `Name` has to be declared in
// the folder that the row names.
func TestNamedCodeExists(t *testing.T) {
	t.Parallel()
	declared := declarations(sources(t))
	for _, table := range []struct {
		page, heading     string
		nameCell, inCells int // where names stand, and where their folder
	}{
		{"GLOSSARY.md", "## Terms of the code", 0, 1},
		{"decisions.md", "# Decisions", 1, 2},
	} {
		t.Run(table.page, func(t *testing.T) {
			t.Parallel()
			for _, row := range rows(t, page(t, table.page), table.heading) {
				folders := names(row[table.inCells])
				if len(folders) != 1 || declared[folders[0]] == nil {
					t.Errorf("%q: got package %q, want one with Go files", row[0], row[table.inCells])
					continue
				}
				for _, name := range names(row[table.nameCell]) {
					if !declared[folders[0]][name] {
						t.Errorf("%s does not declare %s", folders[0], name)
					}
				}
			}
		})
	}
}

var (
	testName = regexp.MustCompile(`\b(Test|Benchmark|Fuzz)[A-Z]\w*`)
	// repositoryPath is a file or folder in a code span, and the name in a package that may follow it.
	repositoryPath = regexp.MustCompile("`((?:cmd|decide|deploy|docs|internal|policy)/[\\w./-]*?)(\\.[A-Z][\\w.]*)?`")
)

// diagramPath is a folder that a diagram in a code block names.
var diagramPath = regexp.MustCompile(`\b(?:cmd|decide|internal|policy)/[a-z][\w/]*`)

// TestDiagramsNameFolders checks the code blocks of ARCHITECTURE.md, its diagrams: each path in them has to be a folder.
func TestDiagramsNameFolders(t *testing.T) {
	t.Parallel()
	checked := 0
	for i, block := range strings.Split(page(t, "ARCHITECTURE.md"), "```") {
		if i%2 == 0 { // outside of code blocks
			continue
		}
		for _, path := range diagramPath.FindAllString(block, -1) {
			checked++
			if info, err := os.Stat(filepath.Join(root, path)); err != nil || !info.IsDir() {
				t.Errorf("a diagram names %s, which is no folder", path)
			}
		}
	}
	if checked < 8 {
		t.Errorf("found %d paths in diagrams, want 8 at least", checked)
	}
}

// TestNamedFilesAndTestsExist checks all pages but the change log, which is about the past: each file, folder and test
// function that they name has to exist.
func TestNamedFilesAndTestsExist(t *testing.T) {
	t.Parallel()
	tests := testFunctions(t)
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"design", "operate"} {
		more, err := filepath.Glob(filepath.Join(root, "docs", folder, "*.md"))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, more...)
	}
	for _, path := range append(pages, filepath.Join(root, "README.md")) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range repositoryPath.FindAllStringSubmatch(string(text), -1) {
			if _, err := os.Stat(filepath.Join(root, match[1])); err != nil {
				t.Errorf("%s names %s: %v", path, match[1], err)
			}
		}
		for _, name := range testName.FindAllString(string(text), -1) {
			if !tests[name] {
				t.Errorf("%s names %s, which no test file declares", path, name)
			}
		}
	}
}

// testFunctions returns the names of all test functions of the repository.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)\w*)\(`)
	found := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != root && strings.HasPrefix(entry.Name(), ".") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range declaration.FindAllStringSubmatch(string(text), -1) {
			found[match[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatalf("reading the test files: %v", err)
	}
	return found
}

// stringConstants returns the values of the string constants that each folder declares at package level, by name.
func stringConstants(files []sourceFile) map[string]map[string]string {
	constants := map[string]map[string]string{}
	for _, file := range files {
		if constants[file.folder] == nil {
			constants[file.folder] = map[string]string{}
		}
		for _, declaration := range file.syntax.Decls {
			general, ok := declaration.(*ast.GenDecl)
			if !ok || general.Tok != token.CONST {
				continue
			}
			for _, spec := range general.Specs {
				values := spec.(*ast.ValueSpec)
				for i, value := range values.Values {
					if text, ok := stringValue(value, nil); ok {
						constants[file.folder][values.Names[i].Name] = text
					}
				}
			}
		}
	}
	return constants
}

// TestOnCallExplainsEachWarning wants each constant message of the log of level warning and above on the runbook page.
func TestOnCallExplainsEachWarning(t *testing.T) {
	t.Parallel()
	runbook := page(t, "operate/on-call.md")
	explained := map[string]bool{}
	for _, name := range names(runbook) {
		explained[name] = true
	}
	logged := map[string]bool{}
	files := sources(t)
	constants := stringConstants(files)
	for _, file := range files {
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			message, ok := warning(node, constants[file.folder])
			if !ok {
				return true
			}
			logged[message] = true
			if !explained[message] {
				t.Errorf("on-call.md does not explain %q, logged in %s", message, file.folder)
			}
			return true
		})
	}
	if len(logged) < 20 {
		t.Errorf("found %d messages of warnings, want 20 at least: has the way of logging changed?", len(logged))
	}
	for _, message := range []string{"quorum: raft library", "control: leadership changed"} { // by Log, a constant and a literal
		if !logged[message] {
			t.Errorf("the search for warnings does not find %q", message)
		}
	}
	for _, row := range sectionRows(t, runbook, "## Log lines") {
		for _, message := range names(row[0]) {
			if !logged[message] {
				t.Errorf("on-call.md explains %q, which nothing logs", message)
			}
		}
	}
}

// warning returns the message of a call to a logger's Warn or Error, with a context or without, or to its Log at a level
// that may be a warning. A message is a literal, or one of the constants given.
func warning(node ast.Node, constants map[string]string) (string, bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isLogger(method.X) {
		return "", false
	}
	var place int // of the message, among the arguments
	switch method.Sel.Name {
	case "Warn", "Error":
		place = 0
	case "WarnContext", "ErrorContext":
		place = 1
	case "Log":
		if len(call.Args) < 2 || isBelowWarning(call.Args[1]) {
			return "", false
		}
		place = 2
	default:
		return "", false
	}
	if place >= len(call.Args) {
		return "", false
	}
	return stringValue(call.Args[place], constants)
}

// isBelowWarning reports whether an expression is one of the constants of package slog for the levels below warning.
func isBelowWarning(level ast.Expr) bool {
	selector, ok := level.(*ast.SelectorExpr)
	return ok && (selector.Sel.Name == "LevelDebug" || selector.Sel.Name == "LevelInfo")
}

// stringValue returns the value of a string literal, or of a constant by its name.
func stringValue(expression ast.Expr, constants map[string]string) (string, bool) {
	switch expression := expression.(type) {
	case *ast.BasicLit:
		if expression.Kind != token.STRING {
			return "", false
		}
		text, err := strconv.Unquote(expression.Value)
		return text, err == nil
	case *ast.Ident:
		text, ok := constants[expression.Name]
		return text, ok
	}
	return "", false
}

// isLogger reports whether an expression is a logger by its name: log, or a field Log.
func isLogger(expression ast.Expr) bool {
	switch expression := expression.(type) {
	case *ast.Ident:
		return strings.EqualFold(expression.Name, "log")
	case *ast.SelectorExpr:
		return strings.EqualFold(expression.Sel.Name, "log")
	}
	return false
}
