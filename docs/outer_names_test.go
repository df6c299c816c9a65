package docs_test

import (
	"fmt"
	"go/ast"
	"go/constant"
	"go/importer"
	"go/token"
	"go/types"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// minOuterNames is the number of names that the list had when it was made. A shorter list has lost some.
const minOuterNames = 1403

var (
	oneToken   = regexp.MustCompile(`^[A-Za-z0-9_./:{}%=?&-]*[A-Za-z][A-Za-z0-9_./:{}%=?&-]*$`)
	structTag  = regexp.MustCompile(`([a-z]+):"([^"]*)"`)
	sqlSubject = regexp.MustCompile(`(?i)\b(?:TABLE|INDEX|COLUMN|INTO|FROM|UPDATE)\s+(?:IF (?:NOT )?EXISTS\s+)?([a-z_]+)`)
)

// TestOuterNamesAreInTheSource guards names and numbers that other programs, stored data and operators depend on
// against renames. docs/outer-names.txt lists them.
func TestOuterNamesAreInTheSource(t *testing.T) {
	files := sources(t)
	found, texts := outerNames(files)
	numbers := map[string]map[string]bool{} // by folder
	count := 0
	for line := range strings.Lines(page(t, "outer-names.txt")) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		count++
		form, name, _ := strings.Cut(line, " ")
		switch form {
		case "tag", "literal", "sql", "field":
			if !found[line] {
				t.Errorf("%s is not in the source", line)
			}
		case "value":
			folder, _, _ := strings.Cut(name, ".")
			if numbers[folder] == nil {
				numbers[folder] = constantNumbers(files, folder)
			}
			if !numbers[folder][name] {
				t.Errorf("no constant is %s", name)
			}
		case "text":
			if !slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(text, name) }) {
				t.Errorf("no string literal contains %q", name)
			}
		default:
			t.Errorf("unknown form %q in the line %q", form, line)
		}
	}
	if count < minOuterNames {
		t.Errorf("outer-names.txt lists %d names, want %d or more", count, minOuterNames)
	}
}

// outerNames returns the struct tags, one-token literals, SQL names and struct fields of the source, each in the form of
// a line of the list, and all string literals.
func outerNames(files []sourceFile) (map[string]bool, []string) {
	found := map[string]bool{}
	var texts []string
	for _, file := range files {
		if file.folder == "internal/wordcheck" || strings.Contains(file.folder, "internal/reference") {
			continue
		}
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.ImportSpec:
				return false
			case *ast.TypeSpec:
				addFields(found, file.folder, node)
			case *ast.Field:
				if node.Tag != nil {
					addTag(found, node.Tag)
				}
			case *ast.BasicLit:
				if text, err := strconv.Unquote(node.Value); err == nil && node.Kind == token.STRING {
					texts = append(texts, text)
					addLiteral(found, text)
				}
			}
			return true
		})
	}
	return found, texts
}

// addFields adds the exported fields of a struct type.
func addFields(found map[string]bool, folder string, spec *ast.TypeSpec) {
	structType, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range structType.Fields.List {
		for _, name := range field.Names {
			found["field "+folder+"."+spec.Name.Name+"."+name.Name] = true
		}
	}
}

// addTag adds the keys of a struct tag.
func addTag(found map[string]bool, tag *ast.BasicLit) {
	text, err := strconv.Unquote(tag.Value)
	if err != nil {
		return
	}
	for _, match := range structTag.FindAllStringSubmatch(text, -1) {
		found[strings.TrimSpace("tag "+match[1]+" "+match[2])] = true
	}
}

// addLiteral adds a string literal if it is one token, and the names in it if it is an SQL statement.
func addLiteral(found map[string]bool, text string) {
	if oneToken.MatchString(text) {
		found["literal "+text] = true
	}
	for _, match := range sqlSubject.FindAllStringSubmatch(text, -1) {
		found["sql "+match[1]] = true
	}
}

// constantNumbers returns the whole-number constants of package scope in a folder, each as "FOLDER.TYPE NAME NUMBER". The type of
// an untyped constant is its default type.
func constantNumbers(files []sourceFile, folder string) map[string]bool {
	var syntax []*ast.File
	var positions *token.FileSet
	for _, file := range files {
		if file.folder == folder {
			syntax = append(syntax, file.syntax)
			positions = file.positions
		}
	}
	numbers := map[string]bool{}
	if syntax == nil {
		return numbers
	}
	// Packages of other modules don't resolve here. Their errors are ignored: no listed constant needs an import.
	config := types.Config{Importer: importer.Default(), Error: func(error) {}, IgnoreFuncBodies: true}
	checked, _ := config.Check(folder, positions, syntax, nil)
	for _, name := range checked.Scope().Names() {
		number, ok := checked.Scope().Lookup(name).(*types.Const)
		if !ok || number.Val().Kind() != constant.Int {
			continue
		}
		kind := types.Default(number.Type()).String()
		kind = kind[strings.LastIndex(kind, ".")+1:]
		numbers[fmt.Sprintf("%s.%s %s %s", folder, kind, name, number.Val())] = true
	}
	return numbers
}
