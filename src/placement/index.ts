export * from "./callchoice.js";
export * from "./choice.js";
export * from "./enginechoice.js";
export * from "./enginecost.js";
export * from "./placement.js";
export * from "./speedestimate.js";
