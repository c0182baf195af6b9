import { defineConfig } from "eslint/config";
import tseslint from "typescript-eslint";

export default defineConfig(
    { ignores: ["dist/**", "target/**", "node_modules/**", "src/link/generated/**"] },
    tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/await-thenable": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/prefer-readonly": "error",
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                {
                    selector: "variable",
                    format: ["camelCase", "UPPER_CASE", "PascalCase"],
                    leadingUnderscore: "forbid",
                },
            ],
            "curly": ["error", "multi-line"],
            "eqeqeq": "error",
            "quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: true }],
        },
    },
);
